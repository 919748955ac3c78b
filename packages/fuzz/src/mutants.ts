import {CompletionRules} from '@filbertrun/completion/completion_rules.js';
import {GroupRules} from '@filbertrun/group/group_rules.js';
import type {InstanceStatus} from '@filbertrun/group/instance_control.js';
import {
  comparePositions,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {ConnectionCondition} from '@filbertrun/pool/pool_types.js';
import type {SessionFloors} from '@filbertrun/session/session_floors.js';
import {
  createHistoryRules,
  PathRules,
  type HistoryRules,
} from './path_rules.js';

/**
 * Mutants of the safety rules, each with one rule switched off. If the fuzzer
 * doesn't detect a mutant, its passing runs say nothing about that rule.
 */

/** A set of rules with one safety rule switched off. @public */
export interface Mutant {
  readonly name: string;
  readonly rules: HistoryRules;
}

/** All mutants of the rules of a database group. @public */
export const GROUP_MUTANTS: readonly Mutant[] = [
  createGroupMutant(
    'majority wait: acknowledges before a majority holds the write',
    class extends GroupRules {
      override mustWaitForMajority(): boolean {
        return false;
      }
    },
  ),
  createGroupMutant(
    'term compare: accepts a majority position of a later term',
    class extends GroupRules {
      override isHeldByMajority(
        majority: LogPosition,
        position: LogPosition,
      ): boolean {
        return comparePositions(majority, position) >= 0;
      }
    },
  ),
  createGroupMutant(
    'position compare: accepts any majority position of the term',
    class extends GroupRules {
      override isHeldByMajority(
        majority: LogPosition,
        position: LogPosition,
      ): boolean {
        return majority.term === position.term;
      }
    },
  ),
  createGroupMutant(
    'fence before promote: promotes after one instance raised the term',
    class extends GroupRules {
      override isFenced(raisedCount: number): boolean {
        return raisedCount >= 1;
      }
    },
  ),
  createGroupMutant(
    'choice of target: promotes the shortest log',
    class extends GroupRules {
      override chooseTarget(
        raised: readonly InstanceStatus[],
      ): InstanceStatus | null {
        const sorted = [...raised].sort((left, right) =>
          comparePositions(left.position, right.position),
        );
        return sorted[0] ?? null;
      }
    },
  ),
  createGroupMutant(
    'choice of target: compares positions without their terms',
    class extends GroupRules {
      override chooseTarget(
        raised: readonly InstanceStatus[],
      ): InstanceStatus | null {
        const sorted = [...raised].sort(
          (left, right) => right.position.position - left.position.position,
        );
        return sorted[0] ?? null;
      }
    },
  ),
  createGroupMutant(
    'one promotion per term: promotes another after a dropped response',
    class extends GroupRules {
      override mayPromoteAgainInTerm(): boolean {
        return true;
      }
    },
  ),
  createGroupMutant(
    'monotone view: reverts to the primary of an older term',
    class extends GroupRules {
      override isNewerView(term: number, knownTerm: number): boolean {
        return term !== knownTerm;
      }
    },
  ),
  createGroupMutant(
    'confirmation round: joins a round that began before the call',
    class extends GroupRules {
      override mayJoinRound(): boolean {
        return true;
      }
    },
  ),
  createGroupMutant(
    'freshness time: counts from the end of the round',
    class extends GroupRules {
      override getFreshnessTimeMs(round: {readonly endMs: number}): number {
        return round.endMs;
      }
    },
  ),
  createCompletionMutant(
    'key record: commits the request without its record',
    class extends CompletionRules {
      override mustRecord(): boolean {
        return false;
      }
    },
  ),
  createCompletionMutant(
    'key hash: replays the record for another statement',
    class extends CompletionRules {
      override isSameStatement(): boolean {
        return true;
      }
    },
  ),
  createCompletionMutant(
    'replay check: replays a record that no majority holds',
    class extends CompletionRules {
      override mustConfirmReplay(): boolean {
        return false;
      }
    },
  ),
  createPathMutant(
    'read check: accepts a response that does not cover the floor',
    class extends PathRules {
      override isResponseAccepted(): boolean {
        return true;
      }
    },
  ),
  createPathMutant(
    'strict read: responds without a confirmed term',
    class extends PathRules {
      override mustConfirmStrictRead(): boolean {
        return false;
      }
    },
  ),
  createPathMutant(
    'age on the primary: responds without a confirmed term',
    class extends PathRules {
      override mustConfirmAgeRead(): boolean {
        return false;
      }
    },
  ),
  createPathMutant(
    'confirmed terms: the primary confirms itself without a replica',
    class extends PathRules {
      override mustConfirmWithMajority(): boolean {
        return false;
      }
    },
  ),
  createPathMutant(
    'age of a late response: ignores the time that it took',
    class extends PathRules {
      override isWithinMaxAge(): boolean {
        return true;
      }
    },
  ),
  createPathMutant(
    'term of the response: accepts a confirmation of another term',
    class extends PathRules {
      override isSameTerm(): boolean {
        return true;
      }
    },
  ),
  createPathMutant(
    'token merge: an older token replaces the newer floor',
    class extends PathRules {
      override mergeFloors(
        _known: SessionFloors,
        received: SessionFloors,
      ): SessionFloors {
        return received;
      }
    },
  ),
  createPathMutant(
    'monotone configuration: applies the version that arrives last',
    class extends PathRules {
      override acceptsOnlyNewerConfiguration(): boolean {
        return false;
      }
    },
  ),
  createPathMutant(
    'clean or closed: returns a connection as clean that may be dirty',
    class extends PathRules {
      override getCondition(): ConnectionCondition {
        return 'clean';
      }
    },
  ),
  createPathMutant(
    'drain check: keeps leasing connections after a drain',
    class extends PathRules {
      override mustDrainPool(): boolean {
        return false;
      }
    },
  ),
  createPathMutant(
    'no blind retry: retries a write after a dropped response',
    class extends PathRules {
      override mayRetryUnknownOutcome(): boolean {
        return true;
      }
    },
  ),
];

interface RulesClass<T> {
  create(): T;
}

/**
 * Creates an instance of a rules class. The constructors are protected;
 * `create` called on a subclass returns an instance of the subclass.
 */
function instantiate<T>(rulesClass: RulesClass<T>): T {
  return rulesClass.create();
}

function createGroupMutant(
  name: string,
  rulesClass: RulesClass<GroupRules>,
): Mutant {
  return {
    name,
    rules: {...createHistoryRules(), group: instantiate(rulesClass)},
  };
}

function createCompletionMutant(
  name: string,
  rulesClass: RulesClass<CompletionRules>,
): Mutant {
  return {
    name,
    rules: {...createHistoryRules(), completion: instantiate(rulesClass)},
  };
}

function createPathMutant(
  name: string,
  rulesClass: RulesClass<PathRules>,
): Mutant {
  return {
    name,
    rules: {...createHistoryRules(), path: instantiate(rulesClass)},
  };
}
