import {ConfigurationHistory} from './configuration_history.js';
import {runConfirmationHistory} from './confirmation_history.js';
import {GroupHistory, type HistoryResult} from './group_history.js';
import type {GroupScenario} from './group_scenario.js';
import type {HistoryRules} from './path_rules.js';
import {PoolHistory} from './pool_history.js';

/** Runs the histories of all kinds that one scenario generates. @public */
export async function runHistory(
  scenario: GroupScenario,
  rules: HistoryRules,
): Promise<HistoryResult> {
  const {seed} = scenario;
  const result = await GroupHistory.run(scenario, rules);
  const violations = [
    ...result.violations,
    ...(await runConfirmationHistory(seed, rules.group)),
    ...(await ConfigurationHistory.run(seed, rules.path)),
    ...(await PoolHistory.run(seed, rules.path)),
  ];
  return {...result, violations};
}
