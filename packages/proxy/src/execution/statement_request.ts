import type {BackendConnection} from '../backend/backend_connection.js';
import type {ResponsePlan} from './response_plan.js';
import type {StoredAnswer} from './stored_answer.js';

/**
 * Messages that are sent for a request on one connection, and the plan of their
 * response.
 *
 * @public
 */
export interface BuiltRequest {
  readonly chunks: readonly Buffer[];
  /** Null if the whole response is sent to the caller. */
  readonly plan: ResponsePlan | null;
}

/** A request that can be sent on any connection. @public */
export interface StatementRequest {
  build(connection: BackendConnection): BuiltRequest;
  /** Returns a text that is equal for equal requests with equal parameters. */
  getFingerprint(): string;
  /** Returns the response frames of the request from a stored response. */
  createReplay(stored: StoredAnswer): readonly Buffer[];
}

/** A request of the simple query protocol. @public */
export class QueryRequest implements StatementRequest {
  private constructor(private readonly frame: Buffer) {}

  static create(frame: Buffer): QueryRequest {
    return new QueryRequest(frame);
  }

  build(): BuiltRequest {
    return {chunks: [this.frame], plan: null};
  }

  getFingerprint(): string {
    return this.frame.toString('latin1');
  }

  createReplay(stored: StoredAnswer): readonly Buffer[] {
    const {rowDescription, execution} = stored;
    return rowDescription === null ? execution : [rowDescription, ...execution];
  }
}
