import type {ReplicaProgress} from './replica_progress.js';

interface PendingConfirmation {
  readonly ticket: number;
  /** An answer to a message of this sequence or a later one counts. */
  readonly sequence: number;
}

/** Requests that a majority confirm the term of a primary. @internal */
export class TermConfirmations {
  private pending: readonly PendingConfirmation[] = [];
  private nextTicket = 1;

  private constructor() {}

  static create(): TermConfirmations {
    return new TermConfirmations();
  }

  /** Adds a request that messages from `sequence` on can settle. */
  add(sequence: number): number {
    const ticket = this.nextTicket++;
    this.pending = [...this.pending, {ticket, sequence}];
    return ticket;
  }

  /** Whether a request waits for a message of this sequence to be sent. */
  isWaitingFor(sequence: number): boolean {
    return this.pending.some(pending => pending.sequence === sequence);
  }

  /** Takes the tickets that enough replicas have answered. */
  takeCompleted(
    replicas: Iterable<ReplicaProgress>,
    requiredResponses: number,
  ): readonly number[] {
    if (this.pending.length === 0) {
      return [];
    }
    const respondedSequences = [...replicas].map(replica =>
      replica.getRespondedSequence(),
    );
    const completed: number[] = [];
    const remaining: PendingConfirmation[] = [];
    for (const pending of this.pending) {
      const answers = respondedSequences.filter(
        at => at >= pending.sequence,
      ).length;
      if (answers >= requiredResponses) {
        completed.push(pending.ticket);
      } else {
        remaining.push(pending);
      }
    }
    this.pending = remaining;
    return completed;
  }

  clear(): void {
    this.pending = [];
  }
}
