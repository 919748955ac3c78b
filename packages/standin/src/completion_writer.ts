import {
  formatPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {DatabaseConnection} from './database_connection.js';
import type {MessageWriter} from './message_writer.js';

/**
 * Writes positions, changed parameters and CommandComplete. If the writes of
 * a statement commit at Sync, its CommandComplete is deferred until the next
 * message. If that message is Sync, the position of the commit is reported
 * before CommandComplete.
 *
 * @internal
 */
export class CompletionWriter {
  private deferredTag: string | null = null;
  private hasCommit = false;
  private reported: ReadonlyMap<string, string>;

  private constructor(
    private readonly connection: DatabaseConnection,
    private readonly writer: MessageWriter,
  ) {
    this.reported = connection.parameters.getReported();
  }

  static create(
    connection: DatabaseConnection,
    writer: MessageWriter,
  ): CompletionWriter {
    return new CompletionWriter(connection, writer);
  }

  /** Returns whether a commit was reported since the last call. */
  consumeHasCommit(): boolean {
    const hasCommit = this.hasCommit;
    this.hasCommit = false;
    return hasCommit;
  }

  /** Reports the log position of the data in the next result. */
  writePosition(position: LogPosition): void {
    const text = formatPosition(position);
    this.writer.writeParameterStatus('group_position', text);
  }

  writeCommitPosition(position: LogPosition): void {
    this.hasCommit = true;
    this.writePosition(position);
  }

  /** Reports the parameters that changed since the last report. */
  writeChangedParameters(): void {
    const reported = this.connection.parameters.getReported();
    for (const [name, value] of reported) {
      if (this.reported.get(name) !== value) {
        this.writer.writeParameterStatus(name, value);
      }
    }
    this.reported = reported;
  }

  /** Defers a command tag until `writeDeferredTag`. */
  deferTag(tag: string): void {
    this.deferredTag = tag;
  }

  /** Discards the deferred tag because its transaction failed. */
  discardDeferredTag(): void {
    this.deferredTag = null;
  }

  /** Writes the deferred tag; on Sync, commits first. */
  writeDeferredTag(isSync: boolean): void {
    const tag = this.deferredTag;
    this.deferredTag = null;
    if (isSync) {
      this.commit();
    }
    if (tag !== null) {
      this.writer.writeCommandComplete(tag);
    }
  }

  /** Commits the implicit transaction and writes CommandComplete. */
  commitAndComplete(tag: string): void {
    this.commit();
    this.writer.writeCommandComplete(tag);
  }

  private commit(): void {
    const position = this.connection.commitImplicit();
    if (position !== null) {
      this.writeCommitPosition(position);
    }
  }
}
