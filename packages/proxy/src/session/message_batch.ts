import {
  BIND_COMPLETE,
  CLOSE_COMPLETE,
  NO_DATA,
  NO_PARAMETERS,
  PARSE_COMPLETE,
} from '@filbertrun/wire/backend_message_builder.js';
import {
  buildBindWithStatement,
  buildParse,
} from '@filbertrun/wire/frontend_message_builder.js';
import type {BindMessage} from '@filbertrun/wire/frontend_message_reader.js';
import {serialize} from 'pg-protocol';
import type {BackendConnection} from '../backend/backend_connection.js';
import {ResponsePlan} from '../execution/response_plan.js';
import type {StoredAnswer} from '../execution/stored_answer.js';
import type {
  BuiltRequest,
  StatementRequest,
} from '../execution/statement_request.js';
import type {PreparedStatement} from './prepared_statements.js';

/** A message of a batch; `frame` holds the caller's bytes. @public */
export type BatchMessage =
  | {
      readonly kind: 'parse';
      readonly frame: Buffer;
      readonly statement: PreparedStatement;
    }
  | {
      readonly kind: 'bind';
      readonly frame: Buffer;
      readonly message: BindMessage;
      readonly statement: PreparedStatement;
    }
  | {
      readonly kind: 'describeStatement';
      readonly frame: Buffer;
      readonly statement: PreparedStatement;
    }
  | {readonly kind: 'describePortal'; readonly frame: Buffer}
  | {readonly kind: 'execute'; readonly frame: Buffer}
  | {readonly kind: 'closeStatement'; readonly frame: Buffer}
  | {readonly kind: 'closePortal'; readonly frame: Buffer}
  | {readonly kind: 'sync'; readonly frame: Buffer};

/**
 * A batch of extended-protocol messages up to Sync. Building it for a
 * connection adds Parse messages for statements that the connection lacks and
 * omits those for statements that are already prepared there.
 *
 * @public
 */
export class BatchRequest implements StatementRequest {
  private constructor(private readonly messages: readonly BatchMessage[]) {}

  static create(messages: readonly BatchMessage[]): BatchRequest {
    return new BatchRequest(messages);
  }

  build(connection: BackendConnection): BuiltRequest {
    const builder = BatchBuilder.create(connection);
    for (const message of this.messages) {
      builder.add(message);
    }
    return builder.finish();
  }

  getFingerprint(): string {
    const parts: string[] = [];
    for (const message of this.messages) {
      if (message.kind === 'bind') {
        // The bytes after the names hold the parameter values and formats.
        const {frame, statement} = message;
        const values = frame.subarray(message.message.restOffset);
        parts.push(`${statement.text}\0${values.toString('latin1')}`);
      }
    }
    return parts.join('\0');
  }

  createReplay(stored: StoredAnswer): readonly Buffer[] {
    const description = stored.rowDescription ?? NO_DATA;
    const frames: Buffer[] = [];
    for (const message of this.messages) {
      switch (message.kind) {
        case 'parse':
          frames.push(PARSE_COMPLETE);
          break;
        case 'bind':
          frames.push(BIND_COMPLETE);
          break;
        case 'describeStatement':
          frames.push(stored.parameterDescription ?? NO_PARAMETERS);
          frames.push(description);
          break;
        case 'describePortal':
          frames.push(description);
          break;
        case 'execute':
          frames.push(...stored.execution);
          break;
        case 'closeStatement':
        case 'closePortal':
          frames.push(CLOSE_COMPLETE);
          break;
        case 'sync':
          break;
      }
    }
    return frames;
  }
}

/** Builds the frames of a batch and the plan of its responses. */
class BatchBuilder {
  private readonly chunks: Buffer[] = [];
  private readonly plan = ResponsePlan.create();
  /** Backend names of the statements that this batch has prepared so far. */
  private readonly prepared = new Set<string>();

  private constructor(private readonly connection: BackendConnection) {}

  static create(connection: BackendConnection): BatchBuilder {
    return new BatchBuilder(connection);
  }

  add(message: BatchMessage): void {
    switch (message.kind) {
      case 'parse':
        this.addParse(message.frame, message.statement);
        return;
      case 'bind':
        this.addBind(message.frame, message.message, message.statement);
        return;
      case 'describeStatement':
        this.addDescribe(message.frame, message.statement);
        return;
      case 'describePortal':
        this.addVisible('describe', message.frame);
        return;
      case 'execute':
        this.addVisible('execute', message.frame);
        return;
      case 'closeStatement':
        // Other sessions that share the connection may use the statement, so
        // it is not closed there.
        this.plan.add({kind: 'injected', frame: CLOSE_COMPLETE});
        return;
      case 'closePortal':
        this.addVisible('close', message.frame);
        return;
      case 'sync':
        this.append(message.frame);
        return;
    }
  }

  finish(): BuiltRequest {
    return {chunks: this.chunks, plan: this.plan};
  }

  private addParse(frame: Buffer, statement: PreparedStatement): void {
    const {backendName} = statement;
    if (backendName === '') {
      this.prepared.add('');
      this.addVisible('parse', frame);
      return;
    }
    if (this.isPrepared(backendName)) {
      this.plan.add({kind: 'injected', frame: PARSE_COMPLETE});
      return;
    }
    this.prepare(statement, false);
  }

  private addBind(
    frame: Buffer,
    message: BindMessage,
    statement: PreparedStatement,
  ): void {
    const {backendName} = statement;
    this.ensurePrepared(statement);
    this.addVisible(
      'bind',
      backendName === ''
        ? frame
        : buildBindWithStatement(backendName, frame, message),
    );
  }

  private addDescribe(frame: Buffer, statement: PreparedStatement): void {
    const {backendName} = statement;
    this.ensurePrepared(statement);
    this.addVisible(
      'describe',
      backendName === ''
        ? frame
        : serialize.describe({type: 'S', name: backendName}),
    );
  }

  private ensurePrepared(statement: PreparedStatement): void {
    if (!this.isPrepared(statement.backendName)) {
      this.prepare(statement, true);
    }
  }

  /**
   * Whether the statement is prepared on the connection or by this batch. The
   * unnamed statement is never kept beyond a batch.
   */
  private isPrepared(backendName: string): boolean {
    return (
      this.prepared.has(backendName) ||
      (backendName !== '' && this.connection.statements.has(backendName))
    );
  }

  private prepare(statement: PreparedStatement, isHidden: boolean): void {
    const {backendName, text, parameterTypes} = statement;
    const {statements} = this.connection;
    this.prepared.add(backendName);
    if (backendName !== '') {
      this.evictStatement();
    }
    this.append(buildParse(backendName, text, parameterTypes));
    const onComplete =
      backendName === '' ? null : () => statements.add(backendName);
    this.plan.add({kind: 'parse', isHidden, onComplete});
  }

  private evictStatement(): void {
    const {statements} = this.connection;
    const name = statements.findEvictable();
    if (name === null || this.prepared.has(name)) {
      return;
    }
    statements.remove(name);
    this.append(serialize.close({type: 'S', name}));
    this.plan.add({kind: 'close', isHidden: true, onComplete: null});
  }

  private addVisible(
    kind: 'parse' | 'bind' | 'describe' | 'execute' | 'close',
    frame: Buffer,
  ): void {
    this.append(frame);
    this.plan.add({kind, isHidden: false, onComplete: null});
  }

  /** Adds a frame; frames that are adjacent in memory become one chunk. */
  private append(frame: Buffer): void {
    const last = this.chunks.at(-1);
    if (
      last !== undefined &&
      last.buffer === frame.buffer &&
      last.byteOffset + last.length === frame.byteOffset
    ) {
      this.chunks[this.chunks.length - 1] = Buffer.from(
        last.buffer,
        last.byteOffset,
        last.length + frame.length,
      );
      return;
    }
    this.chunks.push(frame);
  }
}
