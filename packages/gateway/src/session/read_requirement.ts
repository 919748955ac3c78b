import {
  getLaterPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {DatabaseRoute} from '../configuration/service_configuration.js';
import type {FreshPosition} from '../group/group_runtime.js';

/** Which commits a server must have applied to answer a read. @public */
export type ReadRequirement =
  /** All acknowledged commits; only the leased primary qualifies. */
  | {readonly kind: 'primary'}
  /** All commits up to a position, on any server. */
  | {
      readonly kind: 'position';
      readonly position: LogPosition;
      /** Time since the primary is known to hold it; null if unknown. */
      readonly ageMs: number | null;
    };

/** Inputs of a read requirement. @public */
export interface ReadRequirementInputs {
  readonly route: Pick<DatabaseRoute, 'consistency' | 'maxAgeMs'>;
  /** Minimum position at which the session sees its own commits, or null. */
  readonly sessionFloor: LogPosition | null;
  /** Position recent enough for the route's maximum age, or null. */
  readonly freshPosition: FreshPosition | null;
}

/**
 * Derives the requirement of a read from its route's consistency. If no
 * position is known to be recent enough, only the leased primary can answer.
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
