import {describe, expect, it} from 'vitest';
import {
  findZonesOutOfReach,
  type ServerReachability,
} from './find_zones_out_of_reach.js';
import {decideReadiness, type ReadinessInputs} from './readiness.js';

const SERVING: ReadinessInputs = {
  isStopping: false,
  hasConfiguration: true,
  groupCount: 3,
  groupsWithPrimary: 3,
  groupsWithServer: 3,
  upMs: 60_000,
  withoutPrimaryMs: 0,
  isAlone: false,
  cutOffMs: 0,
};

describe('decideReadiness', () => {
  it.each<[string, Partial<ReadinessInputs>, boolean]>([
    ['it serves', {}, true],
    ['it stops', {isStopping: true}, false],
    ['it has no configuration', {hasConfiguration: false}, false],
    ['no server can be used', {groupsWithServer: 0}, false],
    [
      'it has just started without a primary',
      {groupsWithPrimary: 0, upMs: 500},
      false,
    ],
    ['it lacks a primary for some of the groups', {groupsWithPrimary: 1}, true],
    [
      'all primaries are away, for the others as well',
      {groupsWithPrimary: 0, withoutPrimaryMs: 5_000},
      true,
    ],
    [
      'all primaries are away and it is alone',
      {groupsWithPrimary: 0, withoutPrimaryMs: 5_000, isAlone: true},
      false,
    ],
    ['every other zone is out of reach', {cutOffMs: 500}, false],
  ])('decides when %s', (_name, changes, isReady) => {
    expect(decideReadiness({...SERVING, ...changes}).isReady).toBe(isReady);
  });
});

describe('findZonesOutOfReach', () => {
  function server(
    availabilityZone: string,
    unreachableSinceMs: number | null,
    lastAnsweredAtMs: number | null,
  ): ServerReachability {
    return {availabilityZone, unreachableSinceMs, lastAnsweredAtMs};
  }

  it('takes a zone for lost when none of its servers has answered since', () => {
    const reach = findZonesOutOfReach(
      [server('b', 100, 90), server('b', null, 80), server('c', null, 95)],
      'a',
    );
    expect(reach.outOfReach).toEqual(['b']);
    expect(reach.presumedReachable).toEqual(['c']);
  });

  it('takes the loss of one server for no loss of its zone', () => {
    const reach = findZonesOutOfReach(
      [server('b', 100, 90), server('b', null, 120)],
      'a',
    );
    expect(reach.outOfReach).toEqual([]);
  });

  it('leaves the own zone out', () => {
    const reach = findZonesOutOfReach([server('a', 100, null)], 'a');
    expect(reach).toEqual({outOfReach: [], presumedReachable: []});
  });
});
