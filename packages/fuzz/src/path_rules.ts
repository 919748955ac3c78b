import {CompletionRules} from '@filbertrun/completion/completion_rules.js';
import {GroupRules} from '@filbertrun/group/group_rules.js';
import {isCovered, type LogPosition} from '@filbertrun/model/log_position.js';
import type {ConnectionCondition} from '@filbertrun/pool/pool_types.js';
import type {SessionFloors} from '@filbertrun/session/session_floors.js';

/**
 * The rules of the caller's path that a history depends on, as the mutation
 * run replaces them one at a time.
 *
 * @public
 */
export class PathRules {
  protected constructor() {}

  static create(): PathRules {
    // A subclass of the mutation run creates itself.
    return new this();
  }

  /** Whether the answer of a read proves that it covers what was required. */
  isAnswerAccepted(required: LogPosition, answered: LogPosition): boolean {
    return isCovered(required, answered);
  }

  /** Whether a strict read needs a confirmation that begins after it. */
  mustConfirmStrictRead(): boolean {
    return true;
  }

  /** Whether a read of a bounded age on the primary needs a confirmation. */
  mustConfirmAgeRead(): boolean {
    return true;
  }

  /** Whether a confirmation waits for a replica to answer in the term. */
  mustConfirmWithMajority(): boolean {
    return true;
  }

  /** Whether data that may be `ageMs` old answers a read. */
  isYoungEnough(ageMs: number, maxAgeMs: number): boolean {
    return ageMs <= maxAgeMs;
  }

  /** Whether a confirmation must be of the term that the read was answered in. */
  isSameTerm(confirmedTerm: number, answered: LogPosition): boolean {
    return confirmedTerm === answered.term;
  }

  /** The floors of a session that gives back an older token. */
  mergeFloors(known: SessionFloors, received: SessionFloors): SessionFloors {
    return known.merge(received);
  }

  /** Whether a configuration replaces an older one only. */
  takesOnlyNewerConfiguration(): boolean {
    return true;
  }

  /** How a connection goes back that is or is not proven clean. */
  getCondition(isProvenClean: boolean): ConnectionCondition {
    return isProvenClean ? 'clean' : 'dirty';
  }

  /** Whether a drain stops the pool. */
  mustDrainPool(): boolean {
    return true;
  }

  /** Whether a request without a key may be sent again after a lost answer. */
  mayRepeatUnknown(): boolean {
    return false;
  }
}

/** All rules that one history runs under. @public */
export interface HistoryRules {
  readonly group: GroupRules;
  readonly completion: CompletionRules;
  readonly path: PathRules;
}

/** The rules as programs use them. @public */
export function createHistoryRules(): HistoryRules {
  return {
    group: GroupRules.create(),
    completion: CompletionRules.create(),
    path: PathRules.create(),
  };
}
