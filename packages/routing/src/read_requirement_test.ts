import {describe, expect, it} from 'vitest';
import {
  EMPTY_CONFIGURATION,
  type ReadRule,
} from '@filbertrun/model/configuration.js';
import {
  ORIGIN_POSITION,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import {resolveReadRequirement} from './read_requirement.js';

const FLOOR = {term: 1, position: 5};

function createRule(rule: Partial<ReadRule>): ReadRule {
  return {
    application: '*',
    databaseGroup: 'outings-db-1',
    table: '*',
    consistency: 'session',
    maxAgeMs: null,
    priority: 'normal',
    ...rule,
  };
}

function resolve(
  readRules: readonly ReadRule[],
  tables: readonly string[],
  application = 'site',
  floor: LogPosition = FLOOR,
) {
  return resolveReadRequirement(
    {...EMPTY_CONFIGURATION, readRules},
    {application, databaseGroup: 'outings-db-1', tables, floor},
  );
}

const STRICT_SEATS = createRule({
  table: 'seats',
  consistency: 'strict',
  priority: 'booking',
});
const OLD_TIMES = createRule({
  application: 'site',
  table: 'times',
  consistency: 'age',
  maxAgeMs: 5000,
  priority: 'lookup',
});

describe('resolveReadRequirement', () => {
  it('resolves a read without a rule to a session read if the session has a floor', () => {
    expect(resolve([], ['a'])).toEqual({
      requirement: {kind: 'session', floor: FLOOR},
      priority: 'normal',
    });
  });

  it('resolves a read without a rule to a strict read if the session has no floor', () => {
    expect(resolve([], ['a'], 'site', ORIGIN_POSITION).requirement).toEqual({
      kind: 'strict',
    });
  });

  it('lets any replica serve a session read by rule if the session has no floor', () => {
    const sessionRule = createRule({table: 'a'});
    expect(
      resolve([sessionRule], ['a'], 'site', ORIGIN_POSITION).requirement,
    ).toEqual({kind: 'session', floor: ORIGIN_POSITION});
  });

  it('does not require a strict read if the read names no table', () => {
    expect(resolve([], [], 'site', ORIGIN_POSITION).requirement).toEqual({
      kind: 'session',
      floor: ORIGIN_POSITION,
    });
  });

  it('requires a strict read if one of several tables has no rule', () => {
    const both = resolve([OLD_TIMES], ['times', 'a'], 'site', ORIGIN_POSITION);
    expect(both.requirement).toEqual({kind: 'strict'});
  });

  it('applies the maximum age of a rule and keeps the floor', () => {
    expect(resolve([OLD_TIMES], ['times'])).toEqual({
      requirement: {kind: 'age', floor: FLOOR, maxAgeMs: 5000},
      priority: 'lookup',
    });
  });

  it('does not apply a rule to another application or database group', () => {
    const other = {...OLD_TIMES, databaseGroup: 'outings-db-2'};
    expect(resolve([OLD_TIMES], ['times'], 'guide').requirement.kind).toBe(
      'session',
    );
    expect(resolve([other], ['times']).requirement.kind).toBe('session');
  });

  it.each([
    ['application and table', {application: 'site', table: 'times'}],
    ['application', {application: 'site'}],
    ['table', {table: 'times'}],
    ['neither', {}],
  ])('applies the most specific rule, here by %s', (_name, names) => {
    const scopes = [
      {},
      {table: 'times'},
      {application: 'site'},
      {application: 'site', table: 'times'},
    ];
    const index = scopes.findIndex(
      scope => JSON.stringify(scope) === JSON.stringify(names),
    );
    const rules = scopes
      .slice(0, index + 1)
      .map((scope, age) =>
        createRule({...scope, consistency: 'age', maxAgeMs: age + 1}),
      );
    expect(resolve(rules, ['times']).requirement).toMatchObject({
      maxAgeMs: index + 1,
    });
  });

  it('uses the strictest requirement and the highest priority of all tables', () => {
    expect(resolve([STRICT_SEATS, OLD_TIMES], ['times', 'seats'])).toEqual({
      requirement: {kind: 'strict'},
      priority: 'booking',
    });
  });

  it('keeps the maximum age if another table requires only a session read', () => {
    expect(resolve([OLD_TIMES], ['times', 'a']).requirement.kind).toBe('age');
  });

  it('uses the stricter of two rules for the same read', () => {
    const looser = {...OLD_TIMES, maxAgeMs: 60_000};
    expect(resolve([OLD_TIMES, looser], ['times']).requirement).toMatchObject({
      maxAgeMs: 5000,
    });
  });
});
