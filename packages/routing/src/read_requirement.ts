import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import {
  WILDCARD,
  type Configuration,
  type ReadRule,
  type RequestPriority,
} from '@filbertrun/model/configuration.js';
import {
  comparePositions,
  ORIGIN_POSITION,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {ReadRequirement} from './read_route.js';

/**
 * Turns the read rules of the configuration into what one read requires.
 */

/** What a read names. @public */
export interface ReadDescription {
  /** The caller's `application_name`. */
  readonly application: string;
  readonly databaseGroup: DatabaseGroupName;
  readonly tables: readonly string[];
  /** The session's floor for the group. */
  readonly floor: LogPosition;
}

/** What a read requires and how urgent it is. @public */
export interface ResolvedRead {
  readonly requirement: ReadRequirement;
  readonly priority: RequestPriority;
}

/**
 * The rule for reads that no rule names, of a session that has a floor for the
 * database group: data that covers the floor is current for the session.
 */
const SESSION_RULE = {
  consistency: 'session',
  maxAgeMs: null,
  priority: 'normal',
} as const satisfies Partial<ReadRule>;

/**
 * The rule for reads that no rule names, of a session without a floor. Every
 * replica covers the origin, however old its data, and only a rule allows old
 * data; so the read must be current.
 */
const CURRENT_RULE = {
  consistency: 'strict',
  maxAgeMs: null,
  priority: 'normal',
} as const satisfies Partial<ReadRule>;

/** What the resolution needs of a rule. */
type AppliedRule = Pick<ReadRule, 'consistency' | 'maxAgeMs' | 'priority'>;

const PRIORITY_RANKS: Readonly<Record<RequestPriority, number>> = {
  booking: 2,
  normal: 1,
  lookup: 0,
};

/**
 * The rules of one configuration, indexed by database group, application and
 * table. Build it once for each version.
 *
 * @public
 */
export class ReadRuleIndex {
  private constructor(private readonly rules: ReadonlyMap<string, ReadRule>) {}

  static create(configuration: Configuration): ReadRuleIndex {
    const rules = new Map<string, ReadRule>();
    for (const rule of configuration.readRules) {
      const key = createKey(rule.databaseGroup, rule.application, rule.table);
      const known = rules.get(key);
      if (known === undefined || isStricter(rule, known)) {
        rules.set(key, rule);
      }
    }
    return new ReadRuleIndex(rules);
  }

  /** What a read requires: that of its strictest table. */
  resolve(read: ReadDescription): ResolvedRead {
    let strictest: AppliedRule | null = null;
    let priority: RequestPriority | null = null;
    // A read without a table still belongs to its application's rule.
    const tables = read.tables.length === 0 ? [WILDCARD] : read.tables;
    for (const table of tables) {
      const rule = this.findRule(read, table);
      if (strictest === null || isStricter(rule, strictest)) {
        strictest = rule;
      }
      if (priority === null || isMoreUrgent(rule.priority, priority)) {
        priority = rule.priority;
      }
    }
    return {
      requirement: createRequirement(strictest ?? CURRENT_RULE, read.floor),
      priority: priority ?? CURRENT_RULE.priority,
    };
  }

  /** The most specific rule for a table. */
  private findRule(read: ReadDescription, table: string): AppliedRule {
    const {databaseGroup, application} = read;
    return (
      this.rules.get(createKey(databaseGroup, application, table)) ??
      this.rules.get(createKey(databaseGroup, application, WILDCARD)) ??
      this.rules.get(createKey(databaseGroup, WILDCARD, table)) ??
      this.rules.get(createKey(databaseGroup, WILDCARD, WILDCARD)) ??
      getDefaultRule(read)
    );
  }
}

function getDefaultRule(read: ReadDescription): AppliedRule {
  const hasFloor = comparePositions(read.floor, ORIGIN_POSITION) > 0;
  // A read that names no table depends on no data.
  return hasFloor || read.tables.length === 0 ? SESSION_RULE : CURRENT_RULE;
}

const indexes = new WeakMap<Configuration, ReadRuleIndex>();

/** What a read requires under a configuration. @public */
export function resolveReadRequirement(
  configuration: Configuration,
  read: ReadDescription,
): ResolvedRead {
  let index = indexes.get(configuration);
  if (index === undefined) {
    index = ReadRuleIndex.create(configuration);
    indexes.set(configuration, index);
  }
  return index.resolve(read);
}

function createKey(
  databaseGroup: string,
  application: string,
  table: string,
): string {
  return JSON.stringify([databaseGroup, application, table]);
}

function createRequirement(
  rule: AppliedRule,
  floor: LogPosition,
): ReadRequirement {
  switch (rule.consistency) {
    case 'strict':
      return {kind: 'strict'};
    case 'session':
      return {kind: 'session', floor};
    case 'age':
      return rule.maxAgeMs === null
        ? {kind: 'session', floor}
        : {kind: 'age', floor, maxAgeMs: rule.maxAgeMs};
  }
}

/**
 * Whether one rule demands more than another. `age` also covers the floor, so
 * it demands more than `session`, and a lower age more than a higher one.
 */
function isStricter(left: AppliedRule, right: AppliedRule): boolean {
  return getMaxAgeMs(left) < getMaxAgeMs(right);
}

/** Greatest age that a rule allows: 0 for strict, unbounded for session. */
function getMaxAgeMs(rule: AppliedRule): number {
  switch (rule.consistency) {
    case 'strict':
      return 0;
    case 'session':
      return Number.POSITIVE_INFINITY;
    case 'age':
      return rule.maxAgeMs ?? Number.POSITIVE_INFINITY;
  }
}

function isMoreUrgent(left: RequestPriority, right: RequestPriority): boolean {
  return PRIORITY_RANKS[left] > PRIORITY_RANKS[right];
}
