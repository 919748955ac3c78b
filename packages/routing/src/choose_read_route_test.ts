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
const NEAR = createCandidate({backendServer: 'db-near'});
const FAR = createCandidate({
  backendServer: 'db-far',
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
    expect(choose({kind: 'strict'}, [PRIMARY, NEAR])).toEqual({
      kind: 'primary',
      mustConfirmTerm: true,
    });
  });

  it('prefers the replica of its own availability zone', () => {
    expect(countRoutes([PRIMARY, FAR, NEAR])).toEqual(
      new Map([['db-near', 1000]]),
    );
  });

  it('passes reads on when the near replica has no free slot', () => {
    expect(choose(SESSION, [{...NEAR, freeSlots: 0}, FAR])).toMatchObject({
      backendServer: 'db-far',
    });
  });

  it('lets a weight take load off the near replica', () => {
    const counts = countRoutes([{...NEAR, weight: 20}, FAR]);
    expect(counts.get('db-near')).toBeGreaterThan(150);
    expect(counts.get('db-near')).toBeLessThan(250);
  });

  it('requires the later of the floor and the fresh place for an age', () => {
    const age: ReadRequirement = {kind: 'age', floor: FLOOR, maxAgeMs: 1000};
    const freshPosition = {term: 1, position: 90};
    expect(choose(age, [NEAR], {freshPosition})).toMatchObject({
      requiredPosition: freshPosition,
    });
    expect(choose(age, [NEAR], {freshPosition: null}).kind).toBe('primary');
  });

  it('makes the primary confirm its term for an age, not for a floor', () => {
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

  it('prefers what is known to cover to what is expected to', () => {
    const behind = {
      ...NEAR,
      knownPosition: {term: 1, position: 10},
      expectedLagMs: 1,
    };
    expect(
      choose(SESSION, [behind, FAR], {requiredPositionAgeMs: 9}),
    ).toMatchObject({backendServer: 'db-far'});
  });

  it('overflows to the primary only while that leaves slots for writes', () => {
    const busy = {...NEAR, freeSlots: 0};
    const roomy = {...PRIMARY, freeSlots: 2};
    const full = {...PRIMARY, freeSlots: 1};
    expect(choose(SESSION, [busy, roomy]).kind).toBe('primary');
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

  it('uses a replica if and only if a simple oracle finds one', () => {
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
          const place =
            required.kind === 'strict'
              ? null
              : getRequiredPosition(required, {freshPosition});
          const allowed = candidates.filter(
            item =>
              place !== null &&
              item.isAvailable &&
              !item.isPrimary &&
              item.weight > 0 &&
              isCovered(place, item.knownPosition),
          );
          const free = allowed.filter(item => item.freeSlots > 0);
          if (route.kind === 'replica') {
            const names = (free.length > 0 ? free : allowed).map(
              item => item.backendServer,
            );
            expect(names).toContain(route.backendServer);
            expect(route.requiredPosition).toEqual(place);
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
