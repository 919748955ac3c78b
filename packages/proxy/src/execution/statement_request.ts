import type {BackendConnection} from '../backend/backend_connection.js';
import type {AnswerPlan} from './answer_plan.js';
import type {StoredAnswer} from './stored_answer.js';

/** What is sent for a request on one connection, and what its answer consists of. @public */
export interface BuiltRequest {
  readonly chunks: readonly Buffer[];
  /** Null when the whole answer is the caller's. */
  readonly plan: AnswerPlan | null;
}

/** A request that can be sent on any connection. @public */
export interface StatementRequest {
  build(connection: BackendConnection): BuiltRequest;
  /** Text that is equal for equal requests, parameters included. */
  getFingerprint(): string;
  /** The frames that answer the request from a stored answer. */
  createReplay(stored: StoredAnswer): readonly Buffer[];
}

/** One Query message. @public */
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
