import type {
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import type {GroupView, SuspicionVote} from './group_peers.js';
import type {InstanceStatus} from './instance_control.js';

/**
 * The state of the failover core.
 */

/** What the proxy last learnt of one instance. @public */
export interface ObservedInstance {
  readonly status: InstanceStatus | null;
  /** Time of the last answer; negative infinity without one. */
  readonly answeredAtMs: number;
  /** How the last call failed, or null when it did not. */
  readonly failure: 'refused' | 'silent' | null;
  /** Since when the instance has been a replica that has not heard from a primary, or null. */
  readonly noPrimarySinceMs: number | null;
  /** When the instance was last told to follow. */
  readonly redirectedAtMs: number;
}

/** Why a change of primary was begun. @public */
export type ChangeReason =
  | {readonly kind: 'failover'}
  | {readonly kind: 'planned'; readonly target: BackendServerId};

/** Where a change of primary stands. @public */
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
      readonly raised: readonly InstanceStatus[];
      readonly answeredCount: number;
      /** The primary that is to be replaced, or null. */
      readonly replaced: BackendServerId | null;
    }
  | {
      readonly kind: 'promoting';
      readonly sinceMs: number;
      readonly term: number;
      readonly claimId: string;
      readonly target: BackendServerId;
      readonly raised: readonly InstanceStatus[];
    };

/** A claim of another proxy that no promotion has followed yet. @public */
export interface ForeignClaim {
  readonly claimId: string;
  readonly seenAtMs: number;
}

/** The state of the failover core. @public */
export interface FailoverState {
  readonly databaseGroup: DatabaseGroupName;
  /** Makes claim ids of this process unlike those of any other. */
  readonly claimPrefix: string;
  readonly servers: readonly BackendServerId[];
  readonly instances: ReadonlyMap<BackendServerId, ObservedInstance>;
  /** The primary of the highest term known to have one. */
  readonly view: GroupView | null;
  /** The highest term heard of. */
  readonly highestTerm: number;
  readonly phase: FailoverPhase;
  /** Numbers attempts, so that answers to an abandoned one are ignored. */
  readonly attempt: number;
  readonly suppressedUntilMs: number;
  readonly foreignClaim: ForeignClaim | null;
}

const UNOBSERVED: ObservedInstance = {
  status: null,
  answeredAtMs: -Infinity,
  failure: null,
  noPrimarySinceMs: null,
  redirectedAtMs: -Infinity,
};

/** Creates the state of a process that has heard nothing yet. @public */
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

/** What is known of one instance. @public */
export function getObserved(
  state: FailoverState,
  backendServer: BackendServerId,
): ObservedInstance {
  return state.instances.get(backendServer) ?? UNOBSERVED;
}

/** Replaces what is known of one instance. @internal */
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
 * The primary that writes go to: the one of the view, unless the instance
 * itself says that it no longer is.
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
  // Within its term a promoted instance stays primary, so a status of that term
  // which says otherwise is older than the promotion.
  const isReplaced =
    status !== null && status.role === 'replica' && status.term > view.term;
  return isReplaced ? null : view.primary;
}
