import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {runHistory} from './failover_history.js';
import {PHASE_FAMILIES} from './phase_plans.js';

/** Faults that strike in phase with a change of primary. */

/** Histories of each family; FAILOVER_HISTORIES overrides that of CI. */
const HISTORY_COUNT = Number(process.env['FAILOVER_HISTORIES'] ?? 10);

/** Seed of the histories; FAILOVER_SEED overrides the default of CI. */
const SEED = Number(process.env['FAILOVER_SEED'] ?? 1);

describe('a deployment under faults in phase with a change of primary', () => {
  it.each(PHASE_FAMILIES)(
    'violates no invariant: $name',
    async ({plans}) => {
      await fc.assert(
        fc.asyncProperty(plans, async drawn => {
          const {violations} = await runHistory(drawn);
          expect(violations.slice(0, 3)).toEqual([]);
        }),
        {numRuns: HISTORY_COUNT, seed: SEED, endOnFailure: true},
      );
    },
    3_600_000,
  );
});
