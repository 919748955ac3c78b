import {describe, expect, it} from 'vitest';
import {runHistory} from './failover_history.js';
import type {HistoryFault} from './history_fault.js';

/**
 * A replica restarts between its pause and the effect of the promotion, and a
 * proxy that has not released reaches the old primary, which the failover leader
 * does not.
 */

/** Time at which the failover leader and one proxy are cut off. */
const CUT_AT_MS = 3_200;

const CUT_FOR_MS = 6_000;

/** The replica `r1` drains, so `r2` is preferred as the target. */
function createFaults(restartAtMs: number): readonly HistoryFault[] {
  return [
    {kind: 'drainReplica', atMs: 2_000, replica: 0},
    {kind: 'drainPrimary', atMs: 3_000},
    {
      kind: 'isolatePrimary',
      atMs: CUT_AT_MS,
      forMs: CUT_FOR_MS,
      proxies: [0],
      isFromReplicas: false,
    },
    {kind: 'isolateProxy', atMs: CUT_AT_MS, forMs: CUT_FOR_MS, proxy: 1},
    {kind: 'crashReplica', atMs: restartAtMs, forMs: 20},
  ];
}

describe('a replica that restarts during a change of primary', () => {
  // The pause ends with the restart, and the fence is not confirmed once the order
  // is on its way.
  it.each([3_900, 4_000, 4_100, 4_200, 4_300])(
    'confirms no commit that the target lacks if it restarts at %i ms',
    async restartAtMs => {
      const {violations, promotionCount} = await runHistory({
        seed: 1,
        layout: 'apart',
        faults: createFaults(restartAtMs),
      });
      expect(promotionCount).toBeGreaterThan(0);
      const rules = new Set(violations.map(({rule}) => rule));
      expect([...rules]).toEqual([]);
    },
  );
});
