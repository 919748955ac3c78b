import type {
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import type {GroupView, SuspicionVote} from './group_peers.js';
import type {InstanceStatus} from './instance_control.js';

/**
 * The state of the failover core.
 */

/** Last known state of one instance. @public */
export interface ObservedInstance {
  readonly status: InstanceStatus | null;
  /** Time of the last response; negative infinity if there was none. */
  readonly respondedAtMs: number;
  /** How the last call failed; null if it succeeded. */
  readonly failure: 'refused' | 'silent' | null;
  /**
   * When the instance became a replica without a primary; null if it has one.
   */
  readonly noPrimarySinceMs: number | null;
  /** When the instance was last sent a follow command. */
  readonly redirectedAtMs: number;
}

/** Why a change of primary was started. @public */
export type ChangeReason =
  | {readonly kind: 'failover'}
  | {readonly kind: 'planned'; readonly target: BackendServerId};

/** Phase of a change of primary. @public */
export type FailoverPhase =
  | {readonly kind: 'watching'}
  | {
      readonly kind: 'suspecting';
      readonly sinceMs: number;
      /** Votes of the other proxies, or null until collected. */
      readonly votes: readonly SuspicionVote[] | null;
    }
  | {
      readonly kind: 'claiming';
      readonly sinceMs: number;
      /** `readingBack` determines the outcome of a write without a response. */
      readonly step: 'reading' | 'writing' | 'readingBack';
      readonly reason: ChangeReason;
      readonly term: number;
      readonly claimId: string;
    }
  | {
      readonly kind: 'fencing';
      readonly sinceMs: number;
      readonly reason: ChangeReason;
      readonly term: number;
      readonly claimId: string;
      /** Status of each instance that has accepted `term`. */
      readonly raised: readonly InstanceStatus[];
      /** Number of instances whose call has succeeded or failed. */
      readonly respondedCount: number;
      /** The primary that is to be replaced, or null. */
      readonly replaced: BackendServerId | null;
    }
  | {
      readonly kind: 'promoting';
      readonly sinceMs: number;
      readonly term: number;
      readonly claimId: string;
      readonly target: BackendServerId;
      /** Status of each instance that has accepted `term`. */
      readonly raised: readonly InstanceStatus[];
    };

/** An unfinished claim of another proxy. @public */
export interface ForeignClaim {
  readonly claimId: string;
  readonly seenAtMs: number;
}

/** The state of the failover core. @public */
export interface FailoverState {
  readonly databaseGroup: DatabaseGroupName;
  /** Makes the claim ids of this process unique. */
  readonly claimPrefix: string;
  readonly servers: readonly BackendServerId[];
  readonly instances: ReadonlyMap<BackendServerId, ObservedInstance>;
  /** The primary of the highest term known to have one. */
  readonly view: GroupView | null;
  /** The highest term seen in any status or view. */
  readonly highestTerm: number;
  readonly phase: FailoverPhase;
  /** Number of the attempt; responses to an earlier attempt are ignored. */
  readonly attempt: number;
  /** No suspicion is started before this time. */
  readonly suppressedUntilMs: number;
  readonly foreignClaim: ForeignClaim | null;
}

const UNOBSERVED: ObservedInstance = {
  status: null,
  respondedAtMs: -Infinity,
  failure: null,
  noPrimarySinceMs: null,
  redirectedAtMs: -Infinity,
};

/** Creates the initial state, in which no instance is observed. @public */
export function createFailoverState(
  databaseGroup: DatabaseGroupName,
  claimPrefix: string,
  servers: readonly BackendServerId[],
): FailoverState {
  return {
    databaseGroup,
    claimPrefix,
    servers,
    instances: new Map(),
    view: null,
    highestTerm: 0,
    phase: {kind: 'watching'},
    attempt: 0,
    suppressedUntilMs: 0,
    foreignClaim: null,
  };
}

/** Returns the last known state of one instance. @public */
export function getObserved(
  state: FailoverState,
  backendServer: BackendServerId,
): ObservedInstance {
  return state.instances.get(backendServer) ?? UNOBSERVED;
}

/** Replaces the last known state of one instance. @internal */
export function withObserved(
  state: FailoverState,
  backendServer: BackendServerId,
  observed: ObservedInstance,
): FailoverState {
  const instances = new Map(state.instances);
  instances.set(backendServer, observed);
  return {...state, instances};
}

/**
 * The primary that writes go to: the primary of the view, unless the instance
 * reports that it is a replica of a later term.
 *
 * @public
 */
export function getServingPrimary(
  state: FailoverState,
): BackendServerId | null {
  const view = state.view;
  if (view === null) {
    return null;
  }
  const status = getObserved(state, view.primary).status;
  // A promoted instance stays primary for its term, so a replica status of the
  // same term is older than the promotion.
  const isReplaced =
    status !== null && status.role === 'replica' && status.term > view.term;
  return isReplaced ? null : view.primary;
}
