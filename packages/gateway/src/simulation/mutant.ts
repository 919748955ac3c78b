import type {HistoryFault, HistoryPlan} from './history_fault.js';
import type {Violation} from './safety_oracle.js';
import type {GatewayMutation} from './simulated_proxy.js';

/** A broken part, with histories that must show it. @internal */
export interface Mutant {
  readonly name: string;
  readonly mutate: GatewayMutation;
  readonly plans: readonly HistoryPlan[];
  /** One of these rules must be seen broken. */
  readonly rules: readonly Violation['rule'][];
}

/** Three seeds for one list of faults. @internal */
export function planWithSeeds(
  faults: readonly HistoryFault[],
): readonly HistoryPlan[] {
  return [1, 2, 3].map(seed => ({seed, faults}));
}
