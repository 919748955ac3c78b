import {describe, expect, it} from 'vitest';
import {
  chooseBackendServer,
  type BackendCandidate,
  type ReadRequirements,
} from './choose_backend_server.js';

const NEED: ReadRequirements = {
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
  changes: Partial<ReadRequirements> = {},
): string | null {
  const chosen = chooseBackendServer(candidates, {...NEED, ...changes});
  return chosen?.backendServer ?? null;
}

describe('chooseBackendServer', () => {
  it('prefers the local availability zone when load and latency are equal', () => {
    const far = candidate('far', {availabilityZone: 'far'});
    expect(choose([far, candidate('near')])).toBe('near');
  });

  it('chooses another zone when the server of the local zone is overloaded', () => {
    const far = candidate('far', {availabilityZone: 'far'});
    expect(choose([far, candidate('near', {load: 12})])).toBe('far');
  });

  it('prefers a replica that holds the required position to the primary', () => {
    const primary = candidate('primary', {isPrimary: true});
    expect(choose([primary, candidate('replica')])).toBe('replica');
  });

  it('prefers the primary to a replica that lags', () => {
    const primary = candidate('primary', {isPrimary: true, load: 6});
    const lagging = candidate('replica', {
      knownPosition: {term: 1, position: 3},
      expectedLagMs: 4_000,
    });
    expect(choose([primary, lagging])).toBe('primary');
  });

  it('expects a replica to have caught up after twice its expected lag', () => {
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

  it('uses a suspect server only if there is no other', () => {
    const suspect = candidate('suspect', {isSuspect: true});
    const busy = candidate('busy', {load: 40});
    expect(choose([suspect, busy])).toBe('busy');
    expect(choose([suspect])).toBe('suspect');
  });

  it('returns null when every server is excluded', () => {
    expect(choose([candidate('a')], {excluded: new Set(['a'])})).toBeNull();
  });
});
