import {failoverGapScenario} from './failover_gap_scenario.js';
import type {Scenario} from './scenario.js';

/**
 * The scenarios by name.
 */

const SCENARIOS: readonly Scenario[] = [failoverGapScenario];

/** All scenarios. @public */
export function getScenarios(): readonly Scenario[] {
  return SCENARIOS;
}

/** The scenario of a name, or null. @public */
export function findScenario(name: string): Scenario | null {
  return SCENARIOS.find(scenario => scenario.name === name) ?? null;
}
