import {
  formatPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {DatabaseConnection} from './database_connection.js';
import type {MessageWriter} from './message_writer.js';

/**
 * Writes the ends of statements. A statement whose writes commit at Sync keeps
 * its command tag back until the next message, so that the place of the commit
 * can be reported before CommandComplete whenever Sync follows at once.
 *
 * @internal
 */
export class CompletionWriter {
  private heldTag: string | null = null;
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

  /** Whether a commit was reported since the last call. */
  takeHasCommit(): boolean {
    const hasCommit = this.hasCommit;
    this.hasCommit = false;
    return hasCommit;
  }

  /** Reports the place whose data the next answer shows. */
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

  /** Keeps a tag back until `settleHeldTag`. */
  holdTag(tag: string): void {
    this.heldTag = tag;
  }

  /** Forgets a tag whose transaction failed. */
  dropHeldTag(): void {
    this.heldTag = null;
  }

  /** Writes the tag that was kept back; Sync commits first. */
  settleHeldTag(isSync: boolean): void {
    const tag = this.heldTag;
    this.heldTag = null;
    if (isSync) {
      this.commit();
    }
    if (tag !== null) {
      this.writer.writeCommandComplete(tag);
    }
  }

  /** Commits writes made outside of a block and ends the statement. */
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
