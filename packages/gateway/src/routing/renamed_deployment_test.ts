import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {chooseIdleTimeoutMs} from '../control/choose_idle_timeout.js';
import {computeConnectionShare} from '../control/compute_connection_share.js';
import {
  chooseBackendServer,
  type BackendCandidate,
  type ReadRequirements,
} from './choose_backend_server.js';

/**
 * Checks that decisions depend on observations and configuration, not on names
 * or on the order of lists.
 */

const ZONES = ['north', 'south', 'east'];

const candidate: fc.Arbitrary<Omit<BackendCandidate, 'backendServer'>> =
  fc.record({
    availabilityZone: fc.constantFrom(...ZONES),
    isPrimary: fc.boolean(),
    load: fc.nat(10),
    slots: fc.integer({min: 1, max: 6}),
    latencyMs: fc.option(fc.integer({min: 1, max: 90})),
    isSuspect: fc.boolean(),
    isFailing: fc.boolean(),
    knownPosition: fc.option(
      fc.record({term: fc.constant(1), position: fc.nat(20)}),
    ),
    expectedLagMs: fc.integer({min: 1, max: 900}),
  });

const candidates = fc
  .array(candidate, {minLength: 1, maxLength: 6})
  .map(drawn =>
    drawn.map((each, index) => ({...each, backendServer: `server-${index}`})),
  );

const need: fc.Arbitrary<ReadRequirements> = fc.record({
  requiredPosition: fc.record({term: fc.constant(1), position: fc.nat(20)}),
  requiredPositionAgeMs: fc.option(fc.nat(2_000)),
  availabilityZone: fc.constantFrom(...ZONES),
  excluded: fc.constant(new Set<string>()),
});

function rename(name: string): string {
  return `other-${[...name].reverse().join('')}`;
}

/** The candidate without its names, so that only its state is compared. */
function describeChoice(chosen: BackendCandidate | null) {
  return chosen === null
    ? null
    : {...chosen, backendServer: '', availabilityZone: ''};
}

describe('a deployment with other names', () => {
  it('routes reads to the same candidates', () => {
    fc.assert(
      fc.property(candidates, need, (drawn, drawnNeed) => {
        const renamed = drawn.map(each => ({
          ...each,
          backendServer: rename(each.backendServer),
          availabilityZone: rename(each.availabilityZone),
        }));
        const choice = chooseBackendServer(drawn, drawnNeed);
        const renamedChoice = chooseBackendServer(renamed, {
          ...drawnNeed,
          availabilityZone: rename(drawnNeed.availabilityZone),
        });
        expect(renamedChoice?.backendServer ?? null).toBe(
          choice === null ? null : rename(choice.backendServer),
        );
        expect(describeChoice(renamedChoice)).toEqual(describeChoice(choice));
      }),
    );
  });

  it('uses the same idle timeouts', () => {
    const zone = fc.constantFrom(...ZONES);
    fc.assert(
      fc.property(
        zone,
        zone,
        fc.boolean(),
        fc.array(zone),
        (localZone, instanceZone, isPrimary, groupZones) => {
          const inputs = {localZone, instanceZone, isPrimary, groupZones};
          const renamed = {
            localZone: rename(localZone),
            instanceZone: rename(instanceZone),
            isPrimary,
            groupZones: groupZones.map(rename).reverse(),
          };
          expect(chooseIdleTimeoutMs(renamed)).toBe(
            chooseIdleTimeoutMs(inputs),
          );
        },
      ),
    );
  });

  it('gives every proxy a connection at any size, within the limit if it is large enough', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 3, max: 400}),
        fc.integer({min: 1, max: 500}),
        fc.boolean(),
        (maxConnections, entryVmCount, mayHaveOrphans) => {
          const share = computeConnectionShare({
            maxConnections,
            entryVmCount,
            mayHaveOrphans,
          });
          expect(share).toBeGreaterThanOrEqual(1);
          if (entryVmCount * 2 <= maxConnections - 2) {
            expect(share * entryVmCount).toBeLessThanOrEqual(maxConnections);
          }
        },
      ),
    );
  });
});
