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
 * Resolves the requirement of a read from the read rules of the configuration.
 */

/** Properties of a read that the read rules refer to. @public */
export interface ReadDescription {
  /** The caller's `application_name`. */
  readonly application: string;
  readonly databaseGroup: DatabaseGroupName;
  readonly tables: readonly string[];
  /** The session's floor for the group. */
  readonly floor: LogPosition;
}

/** Requirement and priority of a read. @public */
export interface ResolvedRead {
  readonly requirement: ReadRequirement;
  readonly priority: RequestPriority;
}

/**
 * Default for reads without a matching rule if the session has a floor for the
 * database group. Data that covers the floor is up to date for the session.
 */
const DEFAULT_SESSION_RULE = {
  consistency: 'session',
  maxAgeMs: null,
  priority: 'normal',
} as const satisfies Partial<ReadRule>;

/**
 * Default for reads without a matching rule if the session has no floor. Every
 * replica covers the origin, regardless of the age of its data, and old data is
 * allowed only by a rule, so the read must be strict.
 */
const DEFAULT_STRICT_RULE = {
  consistency: 'strict',
  maxAgeMs: null,
  priority: 'normal',
} as const satisfies Partial<ReadRule>;

/** The part of a rule that determines the requirement. */
type AppliedRule = Pick<ReadRule, 'consistency' | 'maxAgeMs' | 'priority'>;

const PRIORITY_RANKS: Readonly<Record<RequestPriority, number>> = {
  booking: 2,
  normal: 1,
  lookup: 0,
};

/**
 * Index of the read rules of a configuration by database group, application and
 * table. Build it once per configuration version.
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

  /** Applies the strictest rule and the highest priority of all tables. */
  resolve(read: ReadDescription): ResolvedRead {
    let strictest: AppliedRule | null = null;
    let priority: RequestPriority | null = null;
    // The rule of the application also applies to reads that name no table.
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
      requirement: createRequirement(
        strictest ?? DEFAULT_STRICT_RULE,
        read.floor,
      ),
      priority: priority ?? DEFAULT_STRICT_RULE.priority,
    };
  }

  /** Finds the most specific rule for a table. */
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
  // A read that names no table does not depend on stored data.
  return hasFloor || read.tables.length === 0
    ? DEFAULT_SESSION_RULE
    : DEFAULT_STRICT_RULE;
}

const indexes = new WeakMap<Configuration, ReadRuleIndex>();

/** Resolves a read under a configuration, with a cached index. @public */
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
 * Whether the left rule is stricter than the right one. `age` also requires the
 * floor, so it is stricter than `session`; a lower maximum age is stricter than
 * a higher one.
 */
function isStricter(left: AppliedRule, right: AppliedRule): boolean {
  return getMaxAgeMs(left) < getMaxAgeMs(right);
}

/** Maximum age that a rule allows: 0 for `strict`, infinite for `session`. */
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
