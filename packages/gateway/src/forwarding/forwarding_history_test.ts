import process from 'node:process';
import {describe, expect, it} from 'vitest';
import {
  runForwardingHistory,
  type HistoryResult,
} from '../testing/forwarding_history.js';
import {HISTORY_CONTROL, HISTORY_MUTANTS} from '../testing/history_mutants.js';

/** Histories of a run; FORWARDING_HISTORIES sets another number. */
const DEFAULT_HISTORIES = 150;

const HISTORIES = Number(
  process.env['FORWARDING_HISTORIES'] ?? DEFAULT_HISTORIES,
);

const FIRST_SEED = Number(process.env['FORWARDING_HISTORY_SEED'] ?? 1);

/** Histories with the wrappers of the mutants, but without a fault. */
const CONTROL_HISTORIES = 30;

/** Histories within which each mutant must be detected. */
const MUTANT_HISTORIES = 150;

const TIMEOUT_MS = 600_000;

describe('forwarding histories', () => {
  // Guards against writes that run twice, wrong outcomes, mixed connections and
  // transactions that stay open, whatever fails at the same time.
  it(
    'keep the promises to callers',
    async () => {
      const failed: HistoryResult[] = [];
      const counts = new Map<string, number>();
      for (let index = 0; index < HISTORIES; index++) {
        const result = await runForwardingHistory(FIRST_SEED + index);
        if (result.violations.length > 0) {
          failed.push(result);
        }
        for (const [name, count] of result.counts) {
          counts.set(name, (counts.get(name) ?? 0) + count);
        }
      }
      console.log(Object.fromEntries([...counts].sort()));
      const described = failed.map(
        ({seed, violations}) => `seed ${seed}: ${violations.join('; ')}`,
      );
      expect(described).toEqual([]);
    },
    TIMEOUT_MS,
  );

  // Guards against mutants that are detected because of their wrappers.
  it(
    'find no fault in wrappers without one',
    async () => {
      for (let index = 0; index < CONTROL_HISTORIES; index++) {
        const seed = FIRST_SEED + index;
        const result = await runForwardingHistory(seed, HISTORY_CONTROL);
        expect(result).toMatchObject({seed, violations: []});
      }
    },
    TIMEOUT_MS,
  );

  // Guards against histories or rules that overlook a fault.
  it.each(HISTORY_MUTANTS.map(mutant => [mutant.name, mutant] as const))(
    'detect that %s',
    async (name, mutant) => {
      const {rule} = mutant;
      for (let count = 1; count <= MUTANT_HISTORIES; count++) {
        const seed = FIRST_SEED + count - 1;
        const {violations} = await runForwardingHistory(seed, mutant);
        const detected = violations.find(text => text.startsWith(rule));
        if (detected !== undefined) {
          console.log(
            `${name}: detected after ${count} histories, ${detected}`,
          );
          return;
        }
      }
      expect.fail(`not detected in ${MUTANT_HISTORIES} histories`);
    },
    TIMEOUT_MS,
  );
});
