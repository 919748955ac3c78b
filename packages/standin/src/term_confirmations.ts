import type {ReplicaProgress} from './replica_progress.js';

interface PendingConfirmation {
  readonly ticket: number;
  /** Responses count if they are to this sequence or a later one. */
  readonly sequence: number;
}

/** Pending requests for a majority to confirm a primary's term. @internal */
export class TermConfirmations {
  private pending: readonly PendingConfirmation[] = [];
  private nextTicket = 1;

  private constructor() {}

  static create(): TermConfirmations {
    return new TermConfirmations();
  }

  /**
   * Adds a request that is completed by responses to messages from `sequence`
   * on; returns its ticket.
   */
  add(sequence: number): number {
    const ticket = this.nextTicket++;
    this.pending = [...this.pending, {ticket, sequence}];
    return ticket;
  }

  /** Whether a request needs a message of this sequence to be sent. */
  isWaitingFor(sequence: number): boolean {
    return this.pending.some(pending => pending.sequence === sequence);
  }

  /** Removes and returns the tickets with enough responses. */
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
      const responseCount = respondedSequences.filter(
        sequence => sequence >= pending.sequence,
      ).length;
      if (responseCount >= requiredResponses) {
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
