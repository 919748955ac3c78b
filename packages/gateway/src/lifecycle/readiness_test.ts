import {describe, expect, it} from 'vitest';
import {
  findUnreachableZones,
  type ServerReachability,
} from './find_unreachable_zones.js';
import {decideReadiness, type ReadinessInputs} from './readiness.js';

const SERVING: ReadinessInputs = {
  isStopping: false,
  hasConfiguration: true,
  groupCount: 3,
  groupsWithPrimary: 3,
  groupsWithServer: 3,
  uptimeMs: 60_000,
  withoutPrimaryMs: 0,
  hasNoPeerResponse: false,
  isolatedMs: 0,
};

describe('decideReadiness', () => {
  it.each<[string, Partial<ReadinessInputs>, boolean]>([
    ['the proxy is serving', {}, true],
    ['the proxy is stopping', {isStopping: true}, false],
    ['there is no configuration', {hasConfiguration: false}, false],
    ['no backend server is usable', {groupsWithServer: 0}, false],
    [
      'the proxy has just started and knows no primary',
      {groupsWithPrimary: 0, uptimeMs: 500},
      false,
    ],
    ['only some groups have a primary', {groupsWithPrimary: 1}, true],
    [
      'no group has a primary and other proxies respond',
      {groupsWithPrimary: 0, withoutPrimaryMs: 5_000},
      true,
    ],
    [
      'no group has a primary and no other proxy responds',
      {groupsWithPrimary: 0, withoutPrimaryMs: 5_000, hasNoPeerResponse: true},
      false,
    ],
    ['every other zone is unreachable', {isolatedMs: 500}, false],
  ])('decides when %s', (_name, changes, isReady) => {
    expect(decideReadiness({...SERVING, ...changes}).isReady).toBe(isReady);
  });
});

describe('findUnreachableZones', () => {
  function server(
    availabilityZone: string,
    unreachableSinceMs: number | null,
    lastResponseAtMs: number | null,
  ): ServerReachability {
    return {
      availabilityZone,
      unreachableSinceMs,
      lastResponseAtMs,
    };
  }

  it('reports a zone as unreachable if none of its servers has responded since', () => {
    const reachability = findUnreachableZones(
      [server('b', 100, 90), server('b', null, 80), server('c', null, 95)],
      'a',
    );
    expect(reachability.unreachable).toEqual(['b']);
    expect(reachability.presumedReachable).toEqual(['c']);
  });

  it('reports a zone as reachable if another of its servers has responded', () => {
    const reachability = findUnreachableZones(
      [server('b', 100, 90), server('b', null, 120)],
      'a',
    );
    expect(reachability.unreachable).toEqual([]);
  });

  it('excludes the local zone', () => {
    const reachability = findUnreachableZones([server('a', 100, null)], 'a');
    expect(reachability).toEqual({unreachable: [], presumedReachable: []});
  });
});
