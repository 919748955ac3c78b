import {
  getLaterPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {DatabaseRoute} from '../configuration/service_configuration.js';
import type {FreshPosition} from '../group/group_runtime.js';

/** What the data of a read must hold. @public */
export type ReadRequirement =
  /** Every acknowledged commit: only the leased primary will do. */
  | {readonly kind: 'primary'}
  /** All up to a position, at any server. */
  | {
      readonly kind: 'position';
      readonly position: LogPosition;
      /** Time for which the primary is known to hold it; null when unknown. */
      readonly ageMs: number | null;
    };

/** What a requirement follows from. @public */
export interface ReadRequirementInputs {
  readonly route: Pick<DatabaseRoute, 'consistency' | 'maxAgeMs'>;
  readonly sessionFloor: LogPosition | null;
  /** Position that is fresh enough for the route's greatest age, or null. */
  readonly freshPosition: FreshPosition | null;
}

/**
 * Turns a route's promise into what the data must hold. Without a position that
 * is known to be fresh enough, only the leased primary can keep the promise.
 *
 * @public
 */
export function resolveReadRequirement(
  inputs: ReadRequirementInputs,
): ReadRequirement {
  const {route, sessionFloor, freshPosition} = inputs;
  if (route.consistency === 'strict' || freshPosition === null) {
    return {kind: 'primary'};
  }
  if (route.consistency === 'age' || sessionFloor === null) {
    return {kind: 'position', ...freshPosition};
  }
  const position = getLaterPosition(sessionFloor, freshPosition.position);
  const isFloorLater = position !== freshPosition.position;
  return {
    kind: 'position',
    position,
    ageMs: isFloorLater ? null : freshPosition.ageMs,
  };
}
