import {runConfirmationHistory} from './confirmation_history.js';
import {GroupHistory, type HistoryResult} from './group_history.js';
import type {GroupScenario} from './group_scenario.js';
import type {HistoryRules} from './path_rules.js';

/** Runs everything that one drawn scenario stands for. @public */
export async function runHistory(
  scenario: GroupScenario,
  rules: HistoryRules,
): Promise<HistoryResult> {
  const result = await GroupHistory.run(scenario, rules);
  const confirmation = await runConfirmationHistory(scenario.seed, rules.group);
  return {...result, violations: [...result.violations, ...confirmation]};
}
