import type {CallerError} from '@filbertrun/model/outcome.js';
import type {
  ClassifiedStatement,
  StatementClassifier,
} from '@filbertrun/sql/statement_class.js';
import {
  readBind,
  readExecute,
  readNamedTarget,
  readParse,
} from '@filbertrun/wire/frontend_message_reader.js';
import {FrontendMessage} from '@filbertrun/wire/protocol_constants.js';
import type {BatchMessage} from './message_batch.js';
import {
  createBackendName,
  type PreparedStatement,
  type PreparedStatements,
} from './prepared_statements.js';

/** Maximum number of messages in a batch. */
const MAX_BATCH_MESSAGES = 10_000;

/** Maximum size of a batch in bytes. */
const MAX_BATCH_BYTES = 64 * 1024 * 1024;

/** The extended-protocol messages up to and including Sync. @public */
export interface Batch {
  readonly messages: readonly BatchMessage[];
  /**
   * Statements that the batch executes. If it executes none, the statements
   * that its Parse, Bind and Describe messages refer to.
   */
  readonly executed: readonly ClassifiedStatement[];
  /** Whether the batch executes statements, not only prepares or describes. */
  readonly hasExecute: boolean;
  /** Whether the batch consists of Sync alone. */
  readonly isEmpty: boolean;
  /** First error of the batch, or null. A batch with an error is not run. */
  readonly error: CallerError | null;
  /** Whether the error was already sent to the caller. */
  readonly isErrorReported: boolean;
}

/**
 * Collects extended-protocol messages up to Sync and keeps the session's
 * prepared statements and portals up to date.
 *
 * @public
 */
export class BatchReader {
  private messages: BatchMessage[] = [];
  private bytes = 0;
  private executed: ClassifiedStatement[] = [];
  private referenced: ClassifiedStatement[] = [];
  private error: CallerError | null = null;
  private isErrorReported = false;
  /** Prepared statement that each portal was bound to, by portal name. */
  private readonly portals = new Map<string, PreparedStatement>();

  private constructor(
    private readonly classifier: StatementClassifier,
    private readonly prepared: PreparedStatements,
  ) {}

  static create(
    classifier: StatementClassifier,
    prepared: PreparedStatements,
  ): BatchReader {
    return new BatchReader(classifier, prepared);
  }

  isEmpty(): boolean {
    return this.messages.length === 0 && this.error === null;
  }

  /**
   * Adds a message and returns the error that it causes, if any. After an
   * error the remaining messages of the batch are ignored.
   */
  add(type: number, frame: Buffer): CallerError | null {
    if (this.error !== null) {
      return null;
    }
    this.bytes += frame.length;
    const isTooLarge =
      this.messages.length >= MAX_BATCH_MESSAGES ||
      this.bytes > MAX_BATCH_BYTES;
    this.error = isTooLarge
      ? {kind: 'protocolViolation', reason: 'the batch is too large'}
      : this.read(type, frame);
    return this.error;
  }

  /** Ignores messages up to Sync after `error` was sent to the caller. */
  skipToSync(error: CallerError): void {
    this.error = error;
    this.isErrorReported = true;
  }

  /** Returns the collected batch and starts an empty one. */
  finishBatch(end: BatchMessage): Batch {
    const hasExecute = this.executed.length > 0;
    const isEmpty = this.messages.length === 0;
    const {error, isErrorReported} = this;
    const batch: Batch = {
      messages: [...this.messages, end],
      executed: hasExecute ? this.executed : this.referenced,
      hasExecute,
      isEmpty,
      error,
      isErrorReported,
    };
    this.messages = [];
    this.bytes = 0;
    this.executed = [];
    this.referenced = [];
    this.error = null;
    this.isErrorReported = false;
    return batch;
  }

  private read(type: number, frame: Buffer): CallerError | null {
    switch (type) {
      case FrontendMessage.parse:
        return this.readParse(frame);
      case FrontendMessage.bind:
        return this.readBind(frame);
      case FrontendMessage.describe:
        return this.readDescribe(frame);
      case FrontendMessage.execute:
        return this.readExecute(frame);
      case FrontendMessage.close:
        return this.readClose(frame);
      default:
        return {
          kind: 'protocolViolation',
          reason: `unknown message type ${type}`,
        };
    }
  }

  private readParse(frame: Buffer): CallerError | null {
    const message = readParse(frame);
    if (message === null) {
      return createMalformed('Parse');
    }
    const classified = this.classifier.classify(message.text);
    const {statementClass} = classified;
    if (statementClass.kind === 'refused') {
      return {kind: 'notSupported', feature: statementClass.feature};
    }
    if (statementClass.kind === 'multiple') {
      const feature = 'several statements in one prepared statement';
      return {kind: 'notSupported', feature};
    }
    const {statement: name, text, parameterTypes} = message;
    const statement: PreparedStatement = {
      text,
      parameterTypes,
      classified,
      backendName: name === '' ? '' : createBackendName(text, parameterTypes),
    };
    if (!this.prepared.set(name, statement)) {
      const feature = 'so many prepared statements in one session';
      return {kind: 'notSupported', feature};
    }
    this.referenced.push(classified);
    this.messages.push({kind: 'parse', frame, statement});
    return null;
  }

  private readBind(frame: Buffer): CallerError | null {
    const message = readBind(frame);
    if (message === null) {
      return createMalformed('Bind');
    }
    const statement = this.prepared.get(message.statement);
    if (statement === null) {
      return {kind: 'unknownStatement', name: message.statement};
    }
    this.portals.set(message.portal, statement);
    this.referenced.push(statement.classified);
    this.messages.push({kind: 'bind', frame, message, statement});
    return null;
  }

  private readDescribe(frame: Buffer): CallerError | null {
    const message = readNamedTarget(frame);
    if (message === null) {
      return createMalformed('Describe');
    }
    if (message.target === 'portal') {
      this.messages.push({kind: 'describePortal', frame});
      return null;
    }
    const statement = this.prepared.get(message.name);
    if (statement === null) {
      return {kind: 'unknownStatement', name: message.name};
    }
    this.referenced.push(statement.classified);
    this.messages.push({kind: 'describeStatement', frame, statement});
    return null;
  }

  private readExecute(frame: Buffer): CallerError | null {
    const message = readExecute(frame);
    if (message === null) {
      return createMalformed('Execute');
    }
    const statement = this.portals.get(message.portal);
    if (statement !== undefined) {
      this.executed.push(statement.classified);
    }
    this.messages.push({kind: 'execute', frame});
    return null;
  }

  private readClose(frame: Buffer): CallerError | null {
    const message = readNamedTarget(frame);
    if (message === null) {
      return createMalformed('Close');
    }
    if (message.target === 'statement') {
      this.prepared.delete(message.name);
      this.messages.push({kind: 'closeStatement', frame});
      return null;
    }
    this.portals.delete(message.name);
    this.messages.push({kind: 'closePortal', frame});
    return null;
  }
}

function createMalformed(message: string): CallerError {
  return {kind: 'protocolViolation', reason: `malformed ${message} message`};
}
