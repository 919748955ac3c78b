import {failure, type Result} from '@filbertrun/base/result.js';
import type {TermUnconfirmed} from './group_error.js';
import type {GroupRules} from './group_rules.js';
import type {TermConfirmation} from './instance_control.js';

/** Runs one confirmation round with the primary. @internal */
export type ConfirmationRound = () => Promise<
  Result<TermConfirmation, TermUnconfirmed>
>;

interface PendingCall {
  readonly sequence: number;
  readonly resolve: (result: Result<TermConfirmation, TermUnconfirmed>) => void;
}

/**
 * Batches confirmations of the primary's term. A call joins only a round that
 * starts after it, because an earlier round confirms nothing about the time
 * after the call.
 *
 * @internal
 */
export class TermConfirmer {
  private pending: PendingCall[] = [];
  private isRunning = false;
  private isStartScheduled = false;

  private nextSequence = 0;

  private constructor(
    private readonly rules: GroupRules,
    private readonly runRound: ConfirmationRound,
  ) {}

  static create(rules: GroupRules, runRound: ConfirmationRound): TermConfirmer {
    return new TermConfirmer(rules, runRound);
  }

  /** Confirms that the term is current at some time after the call. */
  confirm(): Promise<Result<TermConfirmation, TermUnconfirmed>> {
    return new Promise(resolve => {
      this.pending.push({sequence: this.nextSequence++, resolve});
      this.scheduleRound();
    });
  }

  dispose(): void {
    const abandoned = this.pending;
    this.pending = [];
    for (const call of abandoned) {
      call.resolve(failure({kind: 'termUnconfirmed', reason: 'disposed'}));
    }
  }

  /** Starts a round in a microtask, so that calls of the same turn share it. */
  private scheduleRound(): void {
    if (this.isRunning || this.isStartScheduled) {
      return;
    }
    this.isStartScheduled = true;
    queueMicrotask(() => {
      this.isStartScheduled = false;
      void this.run();
    });
  }

  private async run(): Promise<void> {
    if (this.isRunning || this.pending.length === 0) {
      return;
    }
    this.isRunning = true;
    const roundSequence = this.nextSequence++;
    const joined = this.pending;
    this.pending = [];
    const result = await this.runRound();
    this.isRunning = false;
    for (const call of joined) {
      call.resolve(result);
    }
    this.resolveLateCalls(roundSequence, result);
    if (this.pending.length > 0) {
      this.scheduleRound();
    }
  }

  /**
   * Resolves calls made during the round if the rules allow it. `GroupRules`
   * never does; a rule of the fuzzer's mutation tests does.
   */
  private resolveLateCalls(
    roundSequence: number,
    result: Result<TermConfirmation, TermUnconfirmed>,
  ): void {
    const waiting: PendingCall[] = [];
    for (const call of this.pending) {
      if (this.rules.mayJoinRound(call.sequence, roundSequence)) {
        call.resolve(result);
      } else {
        waiting.push(call);
      }
    }
    this.pending = waiting;
  }
}
