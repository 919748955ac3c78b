import fc from 'fast-check';
import type {
  SelectionCandidate,
  SelectionRequirements,
} from '../routing/server_selection_policy.js';

/** Candidates and requirements for tests of server selection. */

/** A read that every position covers. @internal */
export const ANY_READ: SelectionRequirements = {
  requiredPosition: {term: 1, position: 10},
  requiredPositionAgeMs: null,
  availabilityZone: 'near',
  excluded: new Set(),
  expectedWorkMs: 10,
};

/** Creates an idle local replica, with changes. @internal */
export function createCandidate(
  backendServer: string,
  changes: Partial<SelectionCandidate> = {},
): SelectionCandidate {
  return {
    backendServer,
    availabilityZone: 'near',
    isPrimary: false,
    load: 0,
    slots: 5,
    latencyMs: 20,
    isSuspect: false,
    isFailing: false,
    knownPosition: {term: 1, position: 10},
    expectedLagMs: 60,
    roundTripMs: 0.2,
    expectedWaitMs: 0,
    freeCapacity: 5,
    hasIdleConnection: true,
    slowdown: 1,
    ...changes,
  };
}

const ZONES = ['north', 'south', 'east'];

const position = fc.record({term: fc.constant(1), position: fc.nat(20)});

/** Any non-empty list of candidates with different names. @internal */
export const anyCandidates: fc.Arbitrary<readonly SelectionCandidate[]> = fc
  .array(
    fc.record({
      availabilityZone: fc.constantFrom(...ZONES),
      isPrimary: fc.boolean(),
      load: fc.nat(10),
      slots: fc.integer({min: 1, max: 6}),
      latencyMs: fc.option(fc.integer({min: 1, max: 90})),
      isSuspect: fc.boolean(),
      isFailing: fc.boolean(),
      knownPosition: fc.option(position),
      expectedLagMs: fc.integer({min: 1, max: 900}),
      roundTripMs: fc.option(fc.double({min: 0, max: 200, noNaN: true})),
      expectedWaitMs: fc.double({min: 0, max: 5_000, noNaN: true}),
      freeCapacity: fc.nat(6),
      hasIdleConnection: fc.boolean(),
      slowdown: fc.double({min: 0.2, max: 20, noNaN: true}),
    }),
    {minLength: 1, maxLength: 6},
  )
  .map(drawn =>
    drawn.map((each, index) => ({...each, backendServer: `server-${index}`})),
  );

/** Any requirements, with some candidates excluded. @internal */
export const anyRequirements: fc.Arbitrary<SelectionRequirements> = fc.record({
  requiredPosition: position,
  requiredPositionAgeMs: fc.option(fc.nat(2_000)),
  availabilityZone: fc.constantFrom(...ZONES),
  excluded: fc
    .subarray([0, 1, 2, 3, 4, 5])
    .map(indices => new Set(indices.map(index => `server-${index}`))),
  expectedWorkMs: fc.option(fc.double({min: 0, max: 90, noNaN: true})),
});
