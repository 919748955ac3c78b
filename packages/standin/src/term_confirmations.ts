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
  takeSettled(
    replicas: Iterable<ReplicaProgress>,
    requiredAnswers: number,
  ): readonly number[] {
    if (this.pending.length === 0) {
      return [];
    }
    const answered = [...replicas].map(replica =>
      replica.getAnsweredSequence(),
    );
    const settled: number[] = [];
    const unsettled: PendingConfirmation[] = [];
    for (const pending of this.pending) {
      const answers = answered.filter(at => at >= pending.sequence).length;
      if (answers >= requiredAnswers) {
        settled.push(pending.ticket);
      } else {
        unsettled.push(pending);
      }
    }
    this.pending = unsettled;
    return settled;
  }

  clear(): void {
    this.pending = [];
  }
}
