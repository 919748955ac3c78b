import {describe, expect, it} from 'vitest';
import {
  chooseBackendServer,
  type BackendCandidate,
  type ReadNeed,
} from './choose_backend_server.js';

const NEED: ReadNeed = {
  requiredPosition: {term: 1, position: 10},
  requiredPositionAgeMs: null,
  availabilityZone: 'near',
  excluded: new Set(),
};

function candidate(
  backendServer: string,
  changes: Partial<BackendCandidate> = {},
): BackendCandidate {
  return {
    backendServer,
    availabilityZone: 'near',
    isPrimary: false,
    load: 0,
    slots: 3,
    latencyMs: 20,
    isSuspect: false,
    isFailing: false,
    knownPosition: {term: 1, position: 10},
    expectedLagMs: 60,
    ...changes,
  };
}

function choose(
  candidates: readonly BackendCandidate[],
  changes: Partial<ReadNeed> = {},
): string | null {
  const chosen = chooseBackendServer(candidates, {...NEED, ...changes});
  return chosen?.backendServer ?? null;
}

describe('chooseBackendServer', () => {
  it('prefers the own availability zone', () => {
    const far = candidate('far', {availabilityZone: 'far'});
    expect(choose([far, candidate('near')])).toBe('near');
  });

  it('leaves the own zone when its server is overloaded', () => {
    const far = candidate('far', {availabilityZone: 'far'});
    expect(choose([far, candidate('near', {load: 12})])).toBe('far');
  });

  it('spares the primary while a replica holds what is needed', () => {
    const primary = candidate('primary', {isPrimary: true});
    expect(choose([primary, candidate('replica')])).toBe('replica');
  });

  it('uses the primary rather than replicas that lag', () => {
    const primary = candidate('primary', {isPrimary: true, load: 6});
    const lagging = candidate('replica', {
      knownPosition: {term: 1, position: 3},
      expectedLagMs: 4_000,
    });
    expect(choose([primary, lagging])).toBe('primary');
  });

  it('expects a replica to have caught up after twice its lag', () => {
    const primary = candidate('primary', {isPrimary: true});
    const behind = candidate('replica', {
      knownPosition: {term: 1, position: 3},
    });
    expect(choose([primary, behind], {requiredPositionAgeMs: 100})).toBe(
      'primary',
    );
    expect(choose([primary, behind], {requiredPositionAgeMs: 130})).toBe(
      'replica',
    );
  });

  it('uses a suspect server only without another', () => {
    const suspect = candidate('suspect', {isSuspect: true});
    const busy = candidate('busy', {load: 40});
    expect(choose([suspect, busy])).toBe('busy');
    expect(choose([suspect])).toBe('suspect');
  });

  it('gives null when every server was tried', () => {
    expect(choose([candidate('a')], {excluded: new Set(['a'])})).toBeNull();
  });
});
