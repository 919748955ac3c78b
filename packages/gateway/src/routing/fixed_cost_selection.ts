import {chooseBackendServer} from './choose_backend_server.js';
import type {
  SelectionCandidate,
  SelectionRequirements,
  ServerSelectionPolicy,
} from './server_selection_policy.js';

/**
 * Selection by the proxy's own load and fixed costs of other availability zones
 * and the primary. Used with direct access.
 *
 * @public
 */
export class FixedCostSelection implements ServerSelectionPolicy {
  private constructor() {}

  static create(): FixedCostSelection {
    return new FixedCostSelection();
  }

  choose(
    candidates: readonly SelectionCandidate[],
    requirements: SelectionRequirements,
  ): SelectionCandidate | null {
    return chooseBackendServer(candidates, requirements);
  }
}
