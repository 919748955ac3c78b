import {
  comparePositions,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {InstanceStatus, TermConfirmation} from './instance_control.js';

/** When a confirmation round was sent and answered. @public */
export interface RoundTimes {
  readonly startMs: number;
  readonly endMs: number;
}

/**
 * The rules that keep acknowledged writes safe. They are a class so that the
 * mutation run of the fuzzer can replace one at a time and show that its
 * absence is noticed. A program always uses `GroupRules.create()`.
 *
 * @public
 */
export class GroupRules {
  protected constructor() {}

  static create(): GroupRules {
    // A subclass of the mutation run creates itself.
    return new this();
  }

  /** Instances that must obey a term before it is in force. */
  getMajority(groupSize: number): number {
    return Math.floor(groupSize / 2) + 1;
  }

  /**
   * Whether the place that a majority holds proves that `position` is held.
   * Only a place of the same term does: a later term can have discarded it.
   */
  isMajorityProof(majority: LogPosition, position: LogPosition): boolean {
    return (
      majority.term === position.term && majority.position >= position.position
    );
  }

  /** Whether a write waits for a majority before it is acknowledged. */
  mustWaitForMajority(): boolean {
    return true;
  }

  /** Whether a claimed term may lead to a promotion. */
  isFenced(raisedCount: number, groupSize: number): boolean {
    return raisedCount >= this.getMajority(groupSize);
  }

  /** The instance to promote: the one whose log ends last. */
  chooseTarget(raised: readonly InstanceStatus[]): InstanceStatus | null {
    let best: InstanceStatus | null = null;
    for (const status of raised) {
      if (
        best === null ||
        comparePositions(status.position, best.position) > 0
      ) {
        best = status;
      }
    }
    return best;
  }

  /**
   * Whether a term may promote a second instance after the answer of the
   * first promotion was lost. It may not: the first can have taken effect.
   */
  mayPromoteAgainInTerm(): boolean {
    return false;
  }

  /** Whether what is heard of `term` replaces what is known of `knownTerm`. */
  isNewerView(term: number, knownTerm: number): boolean {
    return term > knownTerm;
  }

  /** Whether a caller may use the answer to a round; both are numbered in the order of their starts. */
  mayJoinRound(callSequence: number, roundSequence: number): boolean {
    return callSequence < roundSequence;
  }

  /** Whether a confirmation is about the term that the proxy believes in. */
  isConfirmationOfTerm(confirmation: TermConfirmation, term: number): boolean {
    return confirmation.term === term;
  }

  /** The time from which data of a confirmed round is known to be fresh. */
  getFreshnessTimeMs(round: RoundTimes): number {
    return round.startMs;
  }
}
