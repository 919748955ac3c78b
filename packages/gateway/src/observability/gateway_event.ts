import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {PromotionEvent} from './promotion_event.js';

/**
 * The log events of the gateway. There is one kind for each decision that
 * affects a request or changes the process's view of the cluster. An event
 * holds the inputs of the decision, their age or version, and the outcome.
 */

/** Inputs of the routing decision for a statement. @public */
export interface RouteInputs {
  readonly databaseGroup: string;
  readonly consistency: string;
  /** Customer of the caller; null for none. */
  readonly customer: string | null;
  /** Version of the configuration that the route comes from. */
  readonly configurationVersion: number;
  /** Term of the leased primary, or null without a lease. */
  readonly leasedTerm: number | null;
  readonly requiredPosition: LogPosition | null;
  /** Age of the required position, or null if unknown. */
  readonly requiredPositionAgeMs: number | null;
}

/** Inputs of the decision to deny a caller. @public */
export interface DenialInputs {
  readonly databaseName: string;
  /** Null without a configuration. */
  readonly configurationVersion: number | null;
  /** Time since the configuration was confirmed to be current, if known. */
  readonly configurationAgeMs: number | null;
  readonly reason: string;
}

/** A log event. @public */
export type GatewayEvent =
  | PromotionEvent
  | {
      readonly kind: 'started';
      readonly entryVm: string;
      readonly availabilityZone: string;
      readonly incarnation: string;
    }
  | {
      readonly kind: 'stopping';
      readonly signal: string;
      readonly graceMs: number;
    }
  | {readonly kind: 'stopped'; readonly openSessions: number}
  | {readonly kind: 'settingsReloaded'; readonly changed: readonly string[]}
  | {
      readonly kind: 'readinessChanged';
      readonly isReady: boolean;
      readonly reason: string;
    }
  /** The zone reader that reads the store for this proxy has changed. */
  | {
      readonly kind: 'zoneReaderChosen';
      readonly availabilityZone: string;
      readonly reader: string;
      readonly reason: string;
    }
  /** The store was restored from a backup, which may lack recent writes. */
  | {
      readonly kind: 'storeRestored';
      readonly era: number;
      readonly previousEra: number;
    }
  /** A restored store has lost a primary record that this proxy has cached. */
  | {readonly kind: 'primaryRecordLost'; readonly databaseGroup: string}
  | {
      readonly kind: 'primaryRecordRewritten';
      readonly databaseGroup: string;
      readonly phase: string;
      readonly outcome: string;
    }
  /**
   * The wall clock and the monotonic clock have diverged, by a suspension or a
   * clock step. The epoch counts the divergences.
   */
  | {readonly kind: 'clockDisagreement'; readonly epoch: number}
  /** The event loop ran the periodic maintenance late. */
  | {readonly kind: 'loopDelayed'; readonly delayMs: number}
  | {
      readonly kind: 'dependencyLost';
      readonly dependency: string;
      readonly reason: string;
    }
  | {
      readonly kind: 'dependencyRegained';
      readonly dependency: string;
      readonly lostForMs: number;
    }
  | {
      readonly kind: 'configurationTaken';
      readonly version: number;
      readonly previousVersion: number;
      readonly routeCount: number;
      /** `store`, or the entry VM of the zone reader that sent it. */
      readonly source: string;
      /** Size of the response that it came in; null if unknown. */
      readonly responseBytes: number | null;
      /** Time from the request for it to its response. */
      readonly durationMs: number;
    }
  /** A read of a table by this process failed. */
  | {
      readonly kind: 'tableReadFailed';
      readonly table: string;
      readonly operation: 'listing' | 'watch';
      /** Revision after which a watch asks for changes; null before a listing. */
      readonly knownRevision: number | null;
      readonly durationMs: number;
      /** Includes the timeout and the bytes that had arrived. */
      readonly reason: string;
    }
  /** A request to a zone reader was refused or got no complete response. */
  | {
      readonly kind: 'zoneUpdateFailed';
      readonly reader: string;
      /** Time for which the reader was allowed to hold the response. */
      readonly waitMs: number;
      readonly durationMs: number;
      readonly reason: string;
    }
  | {readonly kind: 'configurationRejected'; readonly reason: string}
  | {
      readonly kind: 'directoryEntryRejected';
      readonly backendServer: string;
      readonly reason: string;
    }
  | {
      readonly kind: 'backendServerSeen';
      readonly backendServer: string;
      readonly databaseGroup: string;
      readonly availabilityZone: string;
      readonly role: string;
      readonly state: string;
    }
  /** The entry of a server is missing; the server stays in use for a while. */
  | {
      readonly kind: 'backendServerLapsed';
      readonly backendServer: string;
      readonly databaseGroup: string;
    }
  /** A server was removed from its database group. */
  | {
      readonly kind: 'backendServerGone';
      readonly backendServer: string;
      readonly databaseGroup: string;
      readonly reason: string;
    }
  | {readonly kind: 'backendServerRestarted'; readonly backendServer: string}
  | {
      readonly kind: 'backendConnectFailed';
      readonly backendServer: string;
      readonly reason: string;
    }
  | {
      readonly kind: 'backendUnreachable';
      readonly backendServer: string;
      readonly evidence: string;
    }
  /**
   * A newer primary record was applied. During a change, `primary` is the
   * promotion target, or null, and the term is null.
   */
  | {
      readonly kind: 'primaryBelieved';
      readonly databaseGroup: string;
      readonly primary: string | null;
      readonly term: number | null;
      readonly phase: string;
      readonly revision: number;
      readonly source: string;
    }
  | {
      readonly kind: 'leaseReleased';
      readonly databaseGroup: string;
      readonly changeId: string;
      readonly revision: number;
      readonly highestAcknowledged: LogPosition | null;
      /** False for a process that has not read the configuration yet. */
      readonly isGroupKnown: boolean;
      /** Whether it held an unexpired lease when the request arrived. */
      readonly hadLease: boolean;
      /**
       * Newest revision of the group's record that it had read, heard of or
       * released when the request arrived; 0 for none.
       */
      readonly knownRevision: number;
      /** Writes sent to the old primary that were still without a response. */
      readonly pendingWrites: number;
      /** Time since the process started. */
      readonly processAgeMs: number;
    }
  /** This proxy has acquired failover leadership. */
  | {
      readonly kind: 'dutyGained';
      readonly fencingToken: number;
      readonly reason: string;
    }
  /** This proxy no longer holds failover leadership. */
  | {
      readonly kind: 'dutyLost';
      readonly fencingToken: number;
      readonly reason: string;
    }
  | {
      readonly kind: 'primarySuspected';
      readonly databaseGroup: string;
      readonly primary: string;
      readonly evidence: string;
    }
  | {
      readonly kind: 'changeIntended';
      readonly databaseGroup: string;
      readonly changeId: string;
      readonly primary: string;
      readonly term: number;
      readonly reason: string;
      readonly fencingToken: number;
    }
  | {
      readonly kind: 'changeWaiting';
      readonly databaseGroup: string;
      readonly changeId: string;
      readonly waitingFor: string;
    }
  | {
      readonly kind: 'changeCompleted';
      readonly databaseGroup: string;
      readonly changeId: string;
      readonly primary: string;
      readonly term: number;
      readonly waitingFor: readonly string[];
      readonly durationMs: number;
    }
  /** Writes to a new primary are allowed; all leases on the old one ended. */
  | {
      readonly kind: 'writesOpened';
      readonly databaseGroup: string;
      readonly primary: string;
      /** Time since the intent of the change was written. */
      readonly durationMs: number;
    }
  /**
   * Another proxy returned a freshness bound. The lead is its age when the
   * request arrived there.
   */
  | {
      readonly kind: 'freshnessLearned';
      readonly databaseGroup: string;
      readonly entryVm: string;
      readonly position: LogPosition;
      readonly leadMs: number;
    }
  /** The replicas' positions gave a freshness bound without the primary. */
  | {
      readonly kind: 'freshnessProvenByReplicas';
      readonly databaseGroup: string;
      readonly primary: string;
      readonly position: LogPosition;
    }
  | {
      readonly kind: 'changeAbandoned';
      readonly databaseGroup: string;
      readonly changeId: string;
      readonly reason: string;
    }
  | ({
      readonly kind: 'statementRouted';
      readonly requestId: string;
      readonly backendServer: string;
      readonly role: string;
      readonly attempt: number;
    } & RouteInputs)
  | ({
      readonly kind: 'statementRefused';
      readonly requestId: string;
      readonly reason: string;
      readonly retryAfterMs: number | null;
      readonly waitedMs: number;
    } & RouteInputs)
  /** The number of quota partitions that this proxy owns in its zone changed. */
  | {
      readonly kind: 'quotasOwned';
      readonly partitionCount: number;
      /** Age of the registrations; null without valid ones. */
      readonly viewAgeMs: number | null;
    }
  /** A statement was refused because of its database or its caller. */
  | ({
      readonly kind: 'statementDenied';
      readonly requestId: string;
    } & DenialInputs)
  /** A session was refused because of its database or its caller. */
  | ({readonly kind: 'sessionDenied'} & DenialInputs)
  | {
      readonly kind: 'statementRetried';
      readonly requestId: string;
      readonly backendServer: string;
      readonly reason: string;
    }
  /** An operation was sent to the holder of its group's connections. */
  | {
      readonly kind: 'statementForwarded';
      readonly requestId: string;
      readonly databaseGroup: string;
      /** Entry VM of the holder. */
      readonly holder: string;
    }
  | {
      readonly kind: 'forwardingFailed';
      readonly requestId: string;
      readonly databaseGroup: string;
      readonly holder: string;
      readonly reason: string;
    }
  | {
      readonly kind: 'holderUnreachable';
      readonly holder: string;
      readonly reason: string;
    }
  /** A stream of a follower was closed because of an invalid message. */
  | {readonly kind: 'forwardedMessageInvalid'; readonly reason: string}
  /** How this proxy reaches the instances of a group. */
  | {
      readonly kind: 'accessChanged';
      readonly databaseGroup: string;
      /** Whether operations go to the holder of the availability zone. */
      readonly isShared: boolean;
      /** Whether this proxy is that holder. */
      readonly isHolder: boolean;
      /** Connections that this proxy may open to an instance. */
      readonly maxConnections: number;
    }
  | {
      readonly kind: 'statementRejected';
      readonly requestId: string;
      readonly databaseGroup: string;
      /** Error code of the backend server, relayed unchanged. */
      readonly code: string;
      readonly isInTransaction: boolean;
    }
  | {
      readonly kind: 'statementAnswered';
      readonly requestId: string;
      readonly databaseGroup: string;
      readonly consistency: string;
      /**
       * `complete`, `rejected`, `local` (handled by the proxy itself), or the
       * kind of the proxy's error.
       */
      readonly outcome: string;
      readonly durationMs: number;
      readonly position: LogPosition | null;
    }
  /**
   * A write outside a transaction or a commit of writes was acknowledged.
   * Recorded by the proxy whose connection it ran on.
   */
  | {
      readonly kind: 'writeAcknowledged';
      readonly requestId: string;
      readonly databaseGroup: string;
      readonly backendServer: string;
      readonly position: LogPosition;
    }
  | {
      readonly kind: 'outcomeUnknown';
      readonly requestId: string;
      readonly backendServer: string;
      readonly reason: string;
    }
  | {
      readonly kind: 'transactionLost';
      readonly requestId: string;
      readonly backendServer: string;
      readonly reason: string;
    }
  | {readonly kind: 'storeConflict'; readonly key: string}
  /** A background task has failed with an error that nothing expects. */
  | {
      readonly kind: 'taskFailed';
      readonly task: string;
      readonly reason: string;
    }
  | {readonly kind: 'logLinesDropped'; readonly count: number};

/**
 * The budget of log lines that an event counts against. `belief` stands for a
 * change of the process's view of the cluster. Acknowledged writes have a budget of
 * their own, since the log has to show which ones a promotion lacked.
 *
 * @public
 */
export type EventClass = 'belief' | 'failure' | 'write' | 'success';

/**
 * Returns the class of an event. Under load, `belief` events are kept longest,
 * then `failure`, then `write`, then `success`.
 *
 * @public
 */
export function classifyEvent(event: GatewayEvent): EventClass {
  switch (event.kind) {
    case 'statementRouted':
    case 'statementForwarded':
    case 'statementRetried':
    case 'statementAnswered':
      return 'success';
    case 'writeAcknowledged':
      return 'write';
    case 'statementRefused':
    case 'statementDenied':
    case 'sessionDenied':
    case 'statementRejected':
    case 'forwardingFailed':
    case 'outcomeUnknown':
    case 'transactionLost':
    case 'backendConnectFailed':
    case 'taskFailed':
      return 'failure';
    default:
      return 'belief';
  }
}
