import type {Result} from '@filbertrun/base/result.js';
import type {RequestPriority} from '@filbertrun/model/configuration.js';
import type {
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {ReadCandidate} from '@filbertrun/routing/read_route.js';
import type {BackendConnection} from '../backend/backend_connection.js';
import type {GroupView} from './group_view.js';

/** The right to use one pooled connection. @public */
export interface ConnectionLease {
  readonly connection: BackendConnection;
  /** Says that an open transaction waits for its caller. */
  suspend(): void;
  /** Ends `suspend`. */
  resume(): void;
  /** Gives the connection back, or closes it when its state is in doubt. */
  release(): void;
}

/** What a request for a connection states. @public */
export interface LeaseRequest {
  readonly priority: RequestPriority;
  /** Time by which the request is given up. */
  readonly deadlineMs: number;
}

/** A database group as statement execution sees it. @public */
export interface DatabaseGroupAccess {
  readonly databaseGroup: DatabaseGroupName;
  readonly view: GroupView;
  /** Borrows a connection; an error means that nothing was sent. */
  acquire(
    backendServer: BackendServerId,
    request: LeaseRequest,
  ): Promise<Result<ConnectionLease, CallerError>>;
  /** Instances that may answer a read. */
  getReadCandidates(): readonly ReadCandidate[];
  /**
   * Takes whether the answer of a replica covered a place that the replica was
   * expected, but not known, to hold.
   */
  recordCoverage(backendServer: BackendServerId, isCovered: boolean): void;
  /** Asks the backend server of a connection to cancel what it runs. */
  cancel(connection: BackendConnection): void;
}
