import {sleep} from '@filbertrun/base/sleep.js';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {failure, success} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {GroupRules} from '@filbertrun/group/group_rules.js';
import {TermConfirmer} from '@filbertrun/group/term_confirmer.js';
import type {Violation} from './booking_oracle.js';

const CALL_COUNT = 12;
const DURATION_MS = 400;
const MAX_DELAY_MS = 80;

const CONFIRMATION = {
  term: 1,
  position: {term: 1, position: 1},
  majorityPosition: {term: 1, position: 1},
};

/**
 * A history of calls that confirm a term while the primary is replaced at a
 * random time. A call may succeed only if the instance responded to a round
 * while it was still primary, at a time after the call.
 *
 * @public
 */
export async function runConfirmationHistory(
  seed: number,
  rules: GroupRules,
): Promise<readonly Violation[]> {
  const clock = VirtualClock.create();
  const random = SeededRandom.create(seed);
  const replacedAtMs = random.nextInteger(0, DURATION_MS);
  const violations: Violation[] = [];
  const wait = (delayMs: number): Promise<void> => sleep(clock, delayMs);
  const confirmer = TermConfirmer.create(rules, async () => {
    await wait(random.nextInteger(1, MAX_DELAY_MS));
    const isPrimary = clock.nowMs() < replacedAtMs;
    await wait(random.nextInteger(1, MAX_DELAY_MS));
    return isPrimary
      ? success(CONFIRMATION)
      : failure({kind: 'termUnconfirmed', reason: 'replaced'});
  });
  for (let call = 0; call < CALL_COUNT; call++) {
    clock.startTimer(random.nextInteger(0, DURATION_MS), () => {
      const callMs = clock.nowMs();
      void confirmer.confirm().then(result => {
        if (result.ok && callMs >= replacedAtMs) {
          violations.push({
            rule: 'confirmed after replacement',
            detail: `called at ${callMs} ms, replaced at ${replacedAtMs} ms`,
          });
        }
      });
    });
  }
  while (clock.getDelayToNextTimerMs() !== null) {
    clock.advance(clock.getDelayToNextTimerMs() ?? 0);
    await new Promise(resolve => setImmediate(resolve));
  }
  return violations;
}
