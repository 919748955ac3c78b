import {
  comparePositions,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {InstanceStatus, TermConfirmation} from './instance_control.js';

/** Start and end of a confirmation round. @public */
export interface RoundTimes {
  readonly startMs: number;
  readonly endMs: number;
}

/**
 * The rules that keep acknowledged writes safe. They are a class so that the
 * fuzzer's mutation tests can disable one rule at a time and check that the
 * fuzzer detects it. Other code uses `GroupRules.create()`.
 *
 * @public
 */
export class GroupRules {
  protected constructor() {}

  static create(): GroupRules {
    // `this` can be a subclass of the mutation tests.
    return new this();
  }

  /** Number of instances that must accept a term before it is in force. */
  getMajority(groupSize: number): number {
    return Math.floor(groupSize / 2) + 1;
  }

  /**
   * Whether a majority that holds `majority` also holds `position`. Both must
   * be of the same term, because a later term can have discarded `position`.
   */
  isHeldByMajority(majority: LogPosition, position: LogPosition): boolean {
    return (
      majority.term === position.term && majority.position >= position.position
    );
  }

  /** Whether a write waits for a majority before it is acknowledged. */
  mustWaitForMajority(): boolean {
    return true;
  }

  /** Whether enough instances have accepted a term to promote one in it. */
  isFenced(raisedCount: number, groupSize: number): boolean {
    return raisedCount >= this.getMajority(groupSize);
  }

  /** The instance to promote: the one with the last log position. */
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
   * Whether a second instance may be promoted in a term after the outcome of
   * the first promotion is unknown. It may not, because the first can have
   * taken effect.
   */
  mayPromoteAgainInTerm(): boolean {
    return false;
  }

  /** Whether a view of `term` replaces one of `knownTerm`. */
  isNewerView(term: number, knownTerm: number): boolean {
    return term > knownTerm;
  }

  /**
   * Whether a call may use the result of a round. Calls and rounds share one
   * sequence, in the order of their starts.
   */
  mayJoinRound(callSequence: number, roundSequence: number): boolean {
    return callSequence < roundSequence;
  }

  /** Whether a confirmation is for the term of the proxy's view. */
  isConfirmationOfTerm(confirmation: TermConfirmation, term: number): boolean {
    return confirmation.term === term;
  }

  /** The time at which the position of a confirmed round was current. */
  getFreshnessTimeMs(round: RoundTimes): number {
    return round.startMs;
  }
}
