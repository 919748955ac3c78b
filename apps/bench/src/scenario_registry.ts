import {configurationScenario} from './configuration_scenario.js';
import {ControlCostScenario} from './control_cost/control_cost_scenario.js';
import {drainScenario} from './drain_scenario.js';
import {failoverGapScenario} from './failover_gap_scenario.js';
import {overloadScenario} from './overload_scenario.js';
import {overheadScenario} from './overhead_scenario.js';
import {plannedChangeScenario} from './planned_change_scenario.js';
import {proxyLossScenario} from './proxy_loss_scenario.js';
import {readYourWritesScenario} from './read_your_writes_scenario.js';
import {replicaShareScenario} from './replica_share_scenario.js';
import {rollingStopScenario} from './rolling_stop_scenario.js';
import type {Scenario} from './scenario.js';
import {stateSizeScenario} from './state_size_scenario.js';

/**
 * Registry of all scenarios.
 */

const SCENARIOS: readonly Scenario[] = [
  failoverGapScenario,
  replicaShareScenario,
  overheadScenario,
  ControlCostScenario.create(),
  stateSizeScenario,
  plannedChangeScenario,
  configurationScenario,
  drainScenario,
  proxyLossScenario,
  rollingStopScenario,
  overloadScenario,
  readYourWritesScenario,
];

/** Returns all scenarios. @public */
export function getScenarios(): readonly Scenario[] {
  return SCENARIOS;
}

/** Returns the scenario with this name, or null. @public */
export function findScenario(name: string): Scenario | null {
  return SCENARIOS.find(scenario => scenario.name === name) ?? null;
}
