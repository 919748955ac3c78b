import type {
  AvailabilityZone,
  BackendServerId,
} from '@filbertrun/model/identifiers.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';

/**
 * Types of the choice of a backend server for a read.
 */

/** What a read asks of the data that it is answered from. @public */
export type ReadRequirement =
  /** Only a primary that proves after the read that it is still current. */
  | {readonly kind: 'strict'}
  /** Any instance that covers the session's floor. */
  | {readonly kind: 'session'; readonly floor: LogPosition}
  /** Any instance that covers the floor with data no older than stated. */
  | {
      readonly kind: 'age';
      readonly floor: LogPosition;
      readonly maxAgeMs: number;
    };

/** What the proxy knows of one instance when it chooses. @public */
export interface ReadCandidate {
  readonly backendServer: BackendServerId;
  readonly availabilityZone: AvailabilityZone;
  readonly isPrimary: boolean;
  /** Whether the instance is active (not draining, removed or failed). */
  readonly isAvailable: boolean;
  /** Relative share of reads from the configuration, from 0 to 100. */
  readonly weight: number;
  /** Last known place of the instance; a lower bound. */
  readonly knownPosition: LogPosition;
  readonly freeSlots: number;
  readonly latencyMs: number;
  /**
   * Time within which the instance has lately caught up with the primary, or
   * null when unknown. A read may be sent on the strength of it, because the
   * answer still has to prove that it covers the required place.
   */
  readonly expectedLagMs?: number | null;
}

/** Where a read goes. @public */
export type ReadRoute =
  | {
      readonly kind: 'replica';
      readonly backendServer: BackendServerId;
      /** Place that the answer must prove to cover. */
      readonly requiredPosition: LogPosition;
    }
  | {readonly kind: 'primary'; readonly mustConfirmTerm: boolean};
