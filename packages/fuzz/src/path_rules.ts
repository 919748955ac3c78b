import {CompletionRules} from '@filbertrun/completion/completion_rules.js';
import {GroupRules} from '@filbertrun/group/group_rules.js';
import {isCovered, type LogPosition} from '@filbertrun/model/log_position.js';
import type {ConnectionCondition} from '@filbertrun/pool/pool_types.js';
import type {SessionFloors} from '@filbertrun/session/session_floors.js';

/**
 * Safety rules of the request path, from the caller to the backend server.
 * The mutation run replaces them one at a time.
 *
 * @public
 */
export class PathRules {
  protected constructor() {}

  static create(): PathRules {
    // `this` is the subclass when a mutant calls it.
    return new this();
  }

  /** Whether the response to a read covers the required position. */
  isResponseAccepted(
    required: LogPosition,
    responsePosition: LogPosition,
  ): boolean {
    return isCovered(required, responsePosition);
  }

  /** Whether a strict read needs a confirmation that starts after it. */
  mustConfirmStrictRead(): boolean {
    return true;
  }

  /** Whether a bounded-staleness read on the primary needs a confirmation. */
  mustConfirmAgeRead(): boolean {
    return true;
  }

  /** Whether a confirmation waits for the response of a replica in the term. */
  mustConfirmWithMajority(): boolean {
    return true;
  }

  /** Whether a read may return data that may be `ageMs` old. */
  isWithinMaxAge(ageMs: number, maxAgeMs: number): boolean {
    return ageMs <= maxAgeMs;
  }

  /** Whether a confirmation is of the term in which the read ran. */
  isSameTerm(confirmedTerm: number, responsePosition: LogPosition): boolean {
    return confirmedTerm === responsePosition.term;
  }

  /** Merges the known floors of a session with those of a received token. */
  mergeFloors(known: SessionFloors, received: SessionFloors): SessionFloors {
    return known.merge(received);
  }

  /** Whether a configuration is applied only if it is newer. */
  acceptsOnlyNewerConfiguration(): boolean {
    return true;
  }

  /** Condition in which a connection returns to the pool. */
  getCondition(isKnownClean: boolean): ConnectionCondition {
    return isKnownClean ? 'clean' : 'dirty';
  }

  /** Whether the pool is drained when a drain is requested. */
  mustDrainPool(): boolean {
    return true;
  }

  /**
   * Whether a request without an idempotency key may be retried when its
   * outcome is unknown.
   */
  mayRetryUnknownOutcome(): boolean {
    return false;
  }
}

/** All rules of one history. @public */
export interface HistoryRules {
  readonly group: GroupRules;
  readonly completion: CompletionRules;
  readonly path: PathRules;
}

/** Creates the rules without mutations. @public */
export function createHistoryRules(): HistoryRules {
  return {
    group: GroupRules.create(),
    completion: CompletionRules.create(),
    path: PathRules.create(),
  };
}
