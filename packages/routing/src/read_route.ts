import type {
  AvailabilityZone,
  BackendServerId,
} from '@filbertrun/model/identifiers.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';

/**
 * Types for choosing the backend server of a read. A log or a response covers a
 * position if it includes everything up to that position. A term is the period
 * of one primary, which confirms it to show that it has not been replaced.
 */

/** Consistency that a read requires. @public */
export type ReadRequirement =
  /** Only the primary, which must confirm its term after the read. */
  | {readonly kind: 'strict'}
  /** Any instance whose position covers the session's floor. */
  | {readonly kind: 'session'; readonly floor: LogPosition}
  /** Any instance that covers the floor, with data no older than `maxAgeMs`. */
  | {
      readonly kind: 'age';
      readonly floor: LogPosition;
      readonly maxAgeMs: number;
    };

/** State of an instance that is considered for a read. @public */
export interface ReadCandidate {
  readonly backendServer: BackendServerId;
  readonly availabilityZone: AvailabilityZone;
  readonly isPrimary: boolean;
  /** Whether the instance is active (not draining, removed or failed). */
  readonly isAvailable: boolean;
  /** Relative share of reads from the configuration, from 0 to 100. */
  readonly weight: number;
  /** Last known position of the instance; a lower bound. */
  readonly knownPosition: LogPosition;
  readonly freeSlots: number;
  readonly latencyMs: number;
  /**
   * Estimated replication lag, or null if unknown. A read may be sent based on
   * this estimate, because the response must still cover the required position.
   */
  readonly expectedLagMs?: number | null;
}

/** Destination of a read. @public */
export type ReadRoute =
  | {
      readonly kind: 'replica';
      readonly backendServer: BackendServerId;
      /** Position that the response must cover. */
      readonly requiredPosition: LogPosition;
    }
  | {readonly kind: 'primary'; readonly mustConfirmTerm: boolean};
