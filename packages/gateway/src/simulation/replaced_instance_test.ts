import {describe, expect, it} from 'vitest';
import {runHistory} from './failover_history.js';
import type {HistoryFault, HistoryPlan} from './history_fault.js';
import {PROMPT_PLATFORM, type PlatformTimes} from './simulated_group.js';
import type {Violation} from './safety_oracle.js';

/** Histories in which the log of an instance goes to a successor. */

/** End of the drain of a replica that begins to drain at the start. */
const DRAINED_AT_MS = 9_000;

/** The successor runs at once and is listed 2.5 s later. */
const UNLISTED_SUCCESSOR: PlatformTimes = {
  ...PROMPT_PLATFORM,
  drainedDownMs: 50,
  successorListedMs: 2_500,
};

/** The primary is lost while no process remembers what it has acknowledged. */
const POWER_LOSS: readonly HistoryFault[] = [
  {kind: 'killAllProxies', atMs: DRAINED_AT_MS + 100},
  {kind: 'crashPrimary', atMs: DRAINED_AT_MS + 100, forMs: 8_000},
];

/** The other replica receives nothing for the rest of the history. */
const DEAF_REPLICA: HistoryFault = {
  kind: 'stallReplication',
  atMs: 7_000,
  forMs: 11_000,
  replica: 0,
};

function planDrain(seed: number, others: readonly HistoryFault[]): HistoryPlan {
  return {
    seed,
    layout: 'shared',
    platformTimes: UNLISTED_SUCCESSOR,
    faults: [{kind: 'drainReplica', atMs: 0, replica: 1}, ...others],
  };
}

function findRules(violations: readonly Violation[]): readonly string[] {
  return [...new Set(violations.map(({rule}) => rule))];
}

describe('a group with a replaced instance', () => {
  it('serves while a drained replica hands its log to a successor', async () => {
    const outcome = await runHistory(planDrain(1, []));
    expect(findRules(outcome.violations)).toEqual([]);
    expect(outcome.promotionCount).toBe(0);
  });

  // Guards against acknowledged commits that are lost: the unlisted successor of
  // a drained replica held them, and the replica that received nothing was
  // promoted because nothing else answered.
  it.each([1, 2, 3])(
    'promotes no replica that lacks the log of an unlisted successor, seed %i',
    async seed => {
      const outcome = await runHistory(
        planDrain(seed, [DEAF_REPLICA, ...POWER_LOSS]),
      );
      expect(findRules(outcome.violations)).toEqual([]);
    },
  );
});
