import type {ReadRule} from '@filbertrun/model/configuration.js';

/**
 * Compares the read rules of a sheet with those currently in force.
 *
 * @public
 */

/** The difference between the old and new version of a rule. @public */
export type RuleDifference =
  | {readonly kind: 'added'; readonly rule: ReadRule}
  | {readonly kind: 'removed'; readonly rule: ReadRule}
  | {
      readonly kind: 'changed';
      readonly before: ReadRule;
      readonly after: ReadRule;
    };

/** Lists the rules that were added, changed or removed. @public */
export function diffRules(
  before: readonly ReadRule[],
  after: readonly ReadRule[],
): readonly RuleDifference[] {
  const beforeByKey = new Map(before.map(rule => [getKey(rule), rule]));
  const differences: RuleDifference[] = [];
  for (const rule of after) {
    const earlier = beforeByKey.get(getKey(rule));
    beforeByKey.delete(getKey(rule));
    if (earlier === undefined) {
      differences.push({kind: 'added', rule});
      continue;
    }
    if (describeRule(earlier) !== describeRule(rule)) {
      differences.push({kind: 'changed', before: earlier, after: rule});
    }
  }
  for (const rule of beforeByKey.values()) {
    differences.push({kind: 'removed', rule});
  }
  return differences;
}

/** Formats a rule for display to a planner. @public */
export function describeRule(rule: ReadRule): string {
  const age = rule.maxAgeMs === null ? '' : ` up to ${rule.maxAgeMs} ms`;
  return `${rule.application}, ${rule.databaseGroup}, ${rule.table}: ${rule.consistency}${age}, ${rule.priority}`;
}

/** Formats a difference as one line. @public */
export function describeDifference(difference: RuleDifference): string {
  switch (difference.kind) {
    case 'added':
      return `+ ${describeRule(difference.rule)}`;
    case 'removed':
      return `- ${describeRule(difference.rule)}`;
    case 'changed':
      return `~ ${describeRule(difference.before)} -> ${describeRule(difference.after)}`;
  }
}

function getKey(rule: ReadRule): string {
  return JSON.stringify([rule.application, rule.databaseGroup, rule.table]);
}
