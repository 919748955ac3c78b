import type {Result} from '@filbertrun/base/result.js';
import type {RequestPriority} from '@filbertrun/model/configuration.js';
import type {
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {ReadCandidate} from '@filbertrun/routing/read_route.js';
import type {BackendConnection} from '../backend/backend_connection.js';
import type {GroupState} from './group_state.js';

/** Exclusive use of one pooled connection. @public */
export interface ConnectionLease {
  readonly connection: BackendConnection;
  /** Marks that an open transaction waits for its caller. */
  suspend(): void;
  /** Ends `suspend`. */
  resume(): void;
  /** Returns the connection to the pool, which closes it if it is dirty. */
  release(): void;
}

/** Options of a request for a connection. @public */
export interface LeaseRequest {
  readonly priority: RequestPriority;
  /** Time at which the request fails if no connection is available. */
  readonly deadlineMs: number;
}

/** A database group as statement execution sees it. @public */
export interface DatabaseGroupAccess {
  readonly databaseGroup: DatabaseGroupName;
  readonly state: GroupState;
  /** Acquires a connection. After an error, nothing has been sent. */
  acquire(
    backendServer: BackendServerId,
    request: LeaseRequest,
  ): Promise<Result<ConnectionLease, CallerError>>;
  /** Returns the instances that may run a read. */
  getReadCandidates(): readonly ReadCandidate[];
  /**
   * Records whether the response of a replica covered a log position that the
   * replica was expected, but not known, to hold.
   */
  recordCoverage(backendServer: BackendServerId, isCovered: boolean): void;
  /** Sends a cancel request for the statement that runs on a connection. */
  cancel(connection: BackendConnection): void;
}
