import type {
  AvailabilityZone,
  BackendServerId,
} from '@filbertrun/model/identifiers.js';
import type {GroupView, SuspicionVote} from './group_peers.js';
import type {InstanceError, InstanceStatus} from './instance_control.js';
import type {Result} from '@filbertrun/base/result.js';

/**
 * Events and commands of the failover core.
 */

/** The promotion claim of a group in the platform's table. @public */
export interface ClaimRecord {
  readonly term: number;
  readonly claimId: string;
  /** Primary of the term; null until it is promoted. */
  readonly primary: BackendServerId | null;
}

/** The outcome of reading the claim. @public */
export type ClaimReadOutcome =
  | {
      readonly kind: 'read';
      readonly claim: ClaimRecord | null;
      /** Revision of the entry; 0 when there is none. */
      readonly revision: number;
    }
  | {readonly kind: 'unavailable'};

/** The outcome of the conditional write of the claim. @public */
export type ClaimWriteOutcome =
  'written' | 'conflict' | 'outcomeUnknown' | 'unavailable';

/**
 * Input of the failover core. If the response to a command contains a status,
 * `statusObserved` with that status comes before the event of the response.
 *
 * @public
 */
export type FailoverEvent =
  | {readonly kind: 'statusObserved'; readonly status: InstanceStatus}
  | {
      readonly kind: 'instanceFailed';
      readonly backendServer: BackendServerId;
      /** `refused`: the connection failed; `silent`: no response in time. */
      readonly health: 'refused' | 'silent';
    }
  | {readonly kind: 'viewReceived'; readonly view: GroupView}
  | {
      readonly kind: 'tick';
      /** Rank among the group's monitors, from 0; null if not a monitor. */
      readonly monitorRank: number | null;
      readonly knownZones: readonly AvailabilityZone[];
    }
  | {readonly kind: 'stallDetected'}
  | {
      readonly kind: 'serversChanged';
      readonly servers: readonly BackendServerId[];
    }
  | {
      readonly kind: 'votesCollected';
      readonly attempt: number;
      readonly votes: readonly SuspicionVote[];
    }
  | {
      readonly kind: 'claimRead';
      readonly attempt: number;
      readonly outcome: ClaimReadOutcome;
    }
  | {
      readonly kind: 'claimWritten';
      readonly attempt: number;
      readonly outcome: ClaimWriteOutcome;
    }
  | {
      readonly kind: 'termRaised';
      readonly attempt: number;
      readonly backendServer: BackendServerId;
      readonly result: Result<InstanceStatus, InstanceError>;
    }
  | {
      readonly kind: 'promoted';
      readonly attempt: number;
      readonly backendServer: BackendServerId;
      readonly result: Result<InstanceStatus, InstanceError>;
    }
  | {
      readonly kind: 'changeRequested';
      readonly target: BackendServerId;
    };

/** Command of the failover core to its driver. @public */
export type FailoverCommand =
  | {
      readonly kind: 'collectVotes';
      readonly attempt: number;
      readonly backendServer: BackendServerId;
    }
  | {
      readonly kind: 'requestStatus';
      readonly backendServer: BackendServerId;
    }
  | {readonly kind: 'readClaim'; readonly attempt: number}
  | {
      readonly kind: 'writeClaim';
      readonly attempt: number;
      readonly claim: ClaimRecord;
      readonly expectedRevision: number;
    }
  | {
      readonly kind: 'raiseTerm';
      readonly attempt: number;
      readonly backendServer: BackendServerId;
      readonly term: number;
      readonly claimId: string;
    }
  | {
      readonly kind: 'promote';
      readonly attempt: number;
      readonly backendServer: BackendServerId;
      readonly term: number;
      readonly claimId: string;
    }
  | {
      readonly kind: 'follow';
      readonly backendServer: BackendServerId;
      readonly term: number;
      readonly claimId: string;
      readonly primary: BackendServerId;
    }
  | {readonly kind: 'announce'; readonly view: GroupView}
  | {readonly kind: 'publishClaim'; readonly claim: ClaimRecord};
