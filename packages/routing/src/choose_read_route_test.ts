import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {isCovered} from '@filbertrun/model/log_position.js';
import {chooseReadRoute, getRequiredPosition} from './choose_read_route.js';
import type {ReadCandidate, ReadRequirement} from './read_route.js';

function createCandidate(changes: Partial<ReadCandidate>): ReadCandidate {
  return {
    backendServer: 'db-a',
    availabilityZone: 'kochi',
    isPrimary: false,
    isAvailable: true,
    weight: 100,
    knownPosition: {term: 1, position: 100},
    freeSlots: 2,
    latencyMs: 1,
    ...changes,
  };
}

function choose(
  requirement: ReadRequirement,
  candidates: readonly ReadCandidate[],
  options: Partial<Parameters<typeof chooseReadRoute>[2]> = {},
) {
  return chooseReadRoute(requirement, candidates, {
    availabilityZone: 'kochi',
    freshPosition: null,
    random: SeededRandom.create(1),
    ...options,
  });
}

const FLOOR = {term: 1, position: 50};
const SESSION: ReadRequirement = {kind: 'session', floor: FLOOR};
const PRIMARY = createCandidate({backendServer: 'db-p', isPrimary: true});
const LOCAL = createCandidate({backendServer: 'db-local'});
const REMOTE = createCandidate({
  backendServer: 'db-remote',
  availabilityZone: 'shoranur',
});

function countRoutes(
  candidates: readonly ReadCandidate[],
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  const random = SeededRandom.create(7);
  for (let index = 0; index < 1000; index++) {
    const route = choose(SESSION, candidates, {random});
    const name = route.kind === 'replica' ? route.backendServer : 'primary';
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}

describe('chooseReadRoute', () => {
  it('sends a strict read to the primary, which must confirm its term', () => {
    expect(choose({kind: 'strict'}, [PRIMARY, LOCAL])).toEqual({
      kind: 'primary',
      mustConfirmTerm: true,
    });
  });

  it('prefers the replica of the local availability zone', () => {
    expect(countRoutes([PRIMARY, REMOTE, LOCAL])).toEqual(
      new Map([['db-local', 1000]]),
    );
  });

  it('uses a remote replica if the local one has no free slot', () => {
    expect(choose(SESSION, [{...LOCAL, freeSlots: 0}, REMOTE])).toMatchObject({
      backendServer: 'db-remote',
    });
  });

  it('sends part of the reads to a remote replica if the local weight is lower', () => {
    const counts = countRoutes([{...LOCAL, weight: 20}, REMOTE]);
    expect(counts.get('db-local')).toBeGreaterThan(150);
    expect(counts.get('db-local')).toBeLessThan(250);
  });

  it('requires the later of floor and fresh position for a bounded-staleness read', () => {
    const age: ReadRequirement = {kind: 'age', floor: FLOOR, maxAgeMs: 1000};
    const freshPosition = {term: 1, position: 90};
    expect(choose(age, [LOCAL], {freshPosition})).toMatchObject({
      requiredPosition: freshPosition,
    });
    expect(choose(age, [LOCAL], {freshPosition: null}).kind).toBe('primary');
  });

  it('requires the primary to confirm its term for bounded staleness, not for a session read', () => {
    const age: ReadRequirement = {kind: 'age', floor: FLOOR, maxAgeMs: 1000};
    expect(choose(age, [PRIMARY])).toMatchObject({mustConfirmTerm: true});
    expect(choose(SESSION, [PRIMARY])).toMatchObject({mustConfirmTerm: false});
  });

  it('uses a replica that is expected to have caught up', () => {
    const behind = createCandidate({
      knownPosition: {term: 1, position: 10},
      expectedLagMs: 5,
    });
    expect(choose(SESSION, [behind], {requiredPositionAgeMs: 5}).kind).toBe(
      'replica',
    );
    expect(choose(SESSION, [behind], {requiredPositionAgeMs: 4}).kind).toBe(
      'primary',
    );
    expect(choose(SESSION, [behind]).kind).toBe('primary');
  });

  it('prefers replicas known to cover the position to those expected to cover it', () => {
    const behind = {
      ...LOCAL,
      knownPosition: {term: 1, position: 10},
      expectedLagMs: 1,
    };
    expect(
      choose(SESSION, [behind, REMOTE], {requiredPositionAgeMs: 9}),
    ).toMatchObject({backendServer: 'db-remote'});
  });

  it('falls back to the primary only while slots for writes remain free', () => {
    const busy = {...LOCAL, freeSlots: 0};
    const spare = {...PRIMARY, freeSlots: 2};
    const full = {...PRIMARY, freeSlots: 1};
    expect(choose(SESSION, [busy, spare]).kind).toBe('primary');
    expect(choose(SESSION, [busy, full]).kind).toBe('replica');
  });

  const position = fc.record({term: fc.nat(2), position: fc.nat(3)});
  const candidate = fc.record({
    backendServer: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
    availabilityZone: fc.constantFrom('kochi', 'shoranur'),
    isPrimary: fc.boolean(),
    isAvailable: fc.boolean(),
    weight: fc.constantFrom(0, 1, 100),
    knownPosition: position,
    freeSlots: fc.nat(2),
    latencyMs: fc.nat(5),
  });
  const requirement = fc.oneof(
    fc.constant<ReadRequirement>({kind: 'strict'}),
    position.map<ReadRequirement>(floor => ({kind: 'session', floor})),
    position.map<ReadRequirement>(floor => ({
      kind: 'age',
      floor,
      maxAgeMs: 10,
    })),
  );

  it('agrees with a simple reference model on the use of replicas', () => {
    fc.assert(
      fc.property(
        requirement,
        fc.uniqueArray(candidate, {selector: item => item.backendServer}),
        fc.option(position),
        fc.nat(),
        (required, candidates, freshPosition, seed) => {
          const route = choose(required, candidates, {
            freshPosition,
            random: SeededRandom.create(seed),
          });
          const expectedPosition =
            required.kind === 'strict'
              ? null
              : getRequiredPosition(required, {freshPosition});
          const allowed = candidates.filter(
            item =>
              expectedPosition !== null &&
              item.isAvailable &&
              !item.isPrimary &&
              item.weight > 0 &&
              isCovered(expectedPosition, item.knownPosition),
          );
          const free = allowed.filter(item => item.freeSlots > 0);
          if (route.kind === 'replica') {
            const names = (free.length > 0 ? free : allowed).map(
              item => item.backendServer,
            );
            expect(names).toContain(route.backendServer);
            expect(route.requiredPosition).toEqual(expectedPosition);
          } else {
            expect(free).toEqual([]);
            expect(route.mustConfirmTerm).toBe(required.kind !== 'session');
          }
        },
      ),
      {seed: 41, numRuns: 2000},
    );
  });
});
