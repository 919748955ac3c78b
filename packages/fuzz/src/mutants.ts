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
 * The safety rules switched off one at a time. A fuzzer that does not notice
 * one of them proves nothing about it.
 */

/** One safety rule that is switched off. @public */
export interface Mutant {
  readonly name: string;
  readonly rules: HistoryRules;
}

/** Every mutant of the rules that hold for a database group. @public */
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
    'term compare: takes a majority of a later term as proof',
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
    'position compare: takes any majority of the term as proof',
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
    'fence before promote: promotes after one instance obeys the term',
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
    'one promotion a term: promotes another after a lost answer',
    class extends GroupRules {
      override mayPromoteAgainInTerm(): boolean {
        return true;
      }
    },
  ),
  createGroupMutant(
    'monotone view: goes back to the primary of an older term',
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
    'key hash: answers another statement from the record',
    class extends CompletionRules {
      override isSameStatement(): boolean {
        return true;
      }
    },
  ),
  createCompletionMutant(
    'replay proof: answers from a record that no majority holds',
    class extends CompletionRules {
      override mustConfirmReplay(): boolean {
        return false;
      }
    },
  ),
  createPathMutant(
    'read check: keeps an answer that does not cover the floor',
    class extends PathRules {
      override isAnswerAccepted(): boolean {
        return true;
      }
    },
  ),
  createPathMutant(
    'strict read: answers without a confirmed term',
    class extends PathRules {
      override mustConfirmStrictRead(): boolean {
        return false;
      }
    },
  ),
  createPathMutant(
    'age on the primary: answers without a confirmed term',
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
    'age of a late answer: ignores the time that it took',
    class extends PathRules {
      override isYoungEnough(): boolean {
        return true;
      }
    },
  ),
  createPathMutant(
    'term of the answer: takes a confirmation of another term',
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
    'monotone configuration: takes the version that arrives last',
    class extends PathRules {
      override takesOnlyNewerConfiguration(): boolean {
        return false;
      }
    },
  ),
  createPathMutant(
    'clean or closed: gives back a connection that is not proven clean',
    class extends PathRules {
      override getCondition(): ConnectionCondition {
        return 'clean';
      }
    },
  ),
  createPathMutant(
    'drain check: leases on after a drain',
    class extends PathRules {
      override mustDrainPool(): boolean {
        return false;
      }
    },
  ),
  createPathMutant(
    'no blind repeat: sends a write again after a lost answer',
    class extends PathRules {
      override mayRepeatUnknown(): boolean {
        return true;
      }
    },
  ),
];

interface RulesClass<T> {
  create(): T;
}

/** The rule classes have protected constructors; `create` of a subclass makes the subclass. */
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
