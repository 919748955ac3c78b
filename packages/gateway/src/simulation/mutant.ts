import type {HistoryFault, HistoryPlan} from './history_fault.js';
import type {Violation} from './safety_oracle.js';
import type {GatewayMutation} from './simulated_proxy.js';

/**
 * A gateway with one broken part, and histories in which the tests must detect
 * it.
 *
 * @internal
 */
export interface Mutant {
  readonly name: string;
  readonly mutate: GatewayMutation;
  readonly plans: readonly HistoryPlan[];
  /** At least one of these rules must be violated. */
  readonly rules: readonly Violation['rule'][];
}

/** Plans the same faults with three seeds. @internal */
export function planWithSeeds(
  faults: readonly HistoryFault[],
): readonly HistoryPlan[] {
  return [1, 2, 3].map(seed => ({seed, faults}));
}
