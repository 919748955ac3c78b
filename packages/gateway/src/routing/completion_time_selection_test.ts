import {SeededRandom} from '@filbertrun/base/random_source.js';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  ANY_READ,
  anyCandidates,
  anyRequirements,
  createCandidate,
} from '../testing/selection_candidate.js';
import {isExpectedToCoverPosition} from './choose_backend_server.js';
import {CompletionTimeSelection} from './completion_time_selection.js';
import type {
  SelectionCandidate,
  SelectionRequirements,
} from './server_selection_policy.js';

/** Number of choices that show the shares of the candidates. */
const DRAWS = 2_000;

/** Counts how often each candidate is chosen. */
function countChoices(
  candidates: readonly SelectionCandidate[],
  changes: Partial<SelectionRequirements> = {},
): Record<string, number> {
  const policy = CompletionTimeSelection.create(SeededRandom.create(7));
  const counts: Record<string, number> = {};
  for (let draw = 0; draw < DRAWS; draw++) {
    const chosen = policy.choose(candidates, {...ANY_READ, ...changes});
    const name = chosen?.backendServer ?? 'none';
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

/** Returns the only candidate that is ever chosen. */
function choose(
  candidates: readonly SelectionCandidate[],
  changes: Partial<SelectionRequirements> = {},
): string {
  const names = Object.keys(countChoices(candidates, changes));
  expect(names).toHaveLength(1);
  return names[0] ?? 'none';
}

/** A replica 0.9 ms (one way) away. */
function createOtherZone(
  backendServer: string,
  changes: Partial<SelectionCandidate> = {},
): SelectionCandidate {
  return createCandidate(backendServer, {
    availabilityZone: 'far',
    roundTripMs: 1.8,
    ...changes,
  });
}

/** A replica 30 ms (one way) away. */
function createOtherRegion(
  backendServer: string,
  changes: Partial<SelectionCandidate> = {},
): SelectionCandidate {
  return createOtherZone(backendServer, {roundTripMs: 60, ...changes});
}

describe('CompletionTimeSelection', () => {
  it('prefers an idle local server', () => {
    expect(choose([createOtherZone('far'), createCandidate('near')])).toBe(
      'near',
    );
  });

  // Guards against reads that go to another zone, whose bytes are billed, although
  // the local server completes them about as early.
  it('prefers the local server among equals', () => {
    const candidates = [createOtherZone('far'), createCandidate('near')];
    expect(choose(candidates, {expectedWorkMs: 40})).toBe('near');
  });

  // Guards against the fixed cost of 30 ms, which kept reads in the queue of a
  // busy local server while a server 0.9 ms away was idle.
  it('prefers an idle server of another zone to a busy local one', () => {
    const near = createCandidate('near', {freeCapacity: 0, expectedWaitMs: 6});
    expect(choose([near, createOtherZone('far')])).toBe('far');
  });

  it('prefers another zone to a local server that has become slow', () => {
    const near = createCandidate('near', {slowdown: 4});
    expect(choose([near, createOtherZone('far')])).toBe('far');
  });

  it('prefers a busy local server to another region until its queue costs as much', () => {
    function chooseWithWait(expectedWaitMs: number): string {
      const near = createCandidate('near', {freeCapacity: 0, expectedWaitMs});
      return choose([near, createOtherRegion('remote')]);
    }
    expect(chooseWithWait(40)).toBe('near');
    expect(chooseWithWait(100)).toBe('remote');
  });

  it('counts the connection handshake where the identity has no idle connection', () => {
    const near = createCandidate('near', {hasIdleConnection: false});
    expect(choose([near, createOtherZone('far')])).toBe('far');
    const remote = createOtherRegion('remote');
    expect(choose([near, remote])).toBe('near');
  });

  // Guards against a customer whose connections are at one server and who opens
  // another at each statement.
  it('keeps a customer at the server of its idle connection among equals', () => {
    const first = createOtherZone('first', {hasIdleConnection: false});
    const second = createOtherZone('second', {freeCapacity: 1});
    expect(choose([first, second])).toBe('second');
  });

  // Guards against reads that wait for a customer's connection at a busy server
  // for longer than a new connection takes.
  it('opens a connection elsewhere when the queue takes longer than a handshake', () => {
    const busy = createOtherZone('busy', {
      freeCapacity: 0,
      expectedWaitMs: 40,
    });
    const idle = createOtherZone('idle', {hasIdleConnection: false});
    expect(choose([busy, idle])).toBe('idle');
  });

  it('chooses among equals in proportion to their free capacity', () => {
    const counts = countChoices([
      createOtherZone('one', {freeCapacity: 1}),
      createOtherZone('four', {freeCapacity: 4}),
    ]);
    expect((counts['four'] ?? 0) / DRAWS).toBeCloseTo(0.8, 1);
  });

  it('chooses among equals without free capacity evenly', () => {
    const counts = countChoices([
      createOtherZone('a', {freeCapacity: 0, expectedWaitMs: 30}),
      createOtherZone('b', {freeCapacity: 0, expectedWaitMs: 30}),
    ]);
    expect((counts['a'] ?? 0) / DRAWS).toBeCloseTo(0.5, 1);
  });

  it('leaves the primary to reads that need it while a replica is as near', () => {
    const primary = createCandidate('primary', {isPrimary: true});
    expect(choose([primary, createOtherZone('replica')])).toBe('replica');
  });

  it('uses a primary with free capacity when the replicas are busy', () => {
    const primary = createCandidate('primary', {isPrimary: true});
    const busy = createCandidate('replica', {
      freeCapacity: 0,
      expectedWaitMs: 30,
    });
    expect(choose([primary, busy])).toBe('primary');
  });

  // Guards against reads at the primary because writes keep an idle connection
  // of the customer there.
  it('does not prefer the primary within the tolerance for its idle connection', () => {
    const primary = createCandidate('primary', {isPrimary: true});
    const replica = createOtherZone('replica', {
      hasIdleConnection: false,
      roundTripMs: 0.2,
      slowdown: 0.75,
    });
    expect(choose([primary, replica])).toBe('replica');
  });

  // Guards against reads that wait in the queue of a server whose slots the own
  // statements fill, while another is idle.
  it('prefers an idle server to one that runs as many statements as it has slots', () => {
    const near = createCandidate('near', {load: 5, freeCapacity: 1});
    expect(choose([near, createOtherZone('far')])).toBe('far');
  });

  // Guards against replaceable reads in the last slot of the primary.
  it('counts a wait at a primary whose only free slot is reserved', () => {
    const primary = createCandidate('primary', {
      isPrimary: true,
      freeCapacity: 1,
    });
    const busy = createCandidate('replica', {
      freeCapacity: 0,
      expectedWaitMs: 15,
    });
    expect(choose([primary, busy])).toBe('replica');
    const roomy = {...primary, freeCapacity: 2};
    expect(choose([roomy, busy])).toBe('primary');
  });

  it('does not choose a lagging replica, however long the others are queued', () => {
    const lagging = createCandidate('lagging', {
      knownPosition: {term: 1, position: 3},
      expectedLagMs: 4_000,
    });
    const busy = createCandidate('primary', {
      isPrimary: true,
      freeCapacity: 0,
      expectedWaitMs: 700,
    });
    expect(choose([lagging, busy])).toBe('primary');
  });

  it('expects a replica to have caught up after twice its expected lag', () => {
    const primary = createCandidate('primary', {isPrimary: true});
    const behind = createCandidate('replica', {
      knownPosition: {term: 1, position: 3},
    });
    const both = [primary, behind];
    expect(choose(both, {requiredPositionAgeMs: 100})).toBe('primary');
    expect(choose(both, {requiredPositionAgeMs: 130})).toBe('replica');
  });

  it('ranks failing before lagging before suspect servers', () => {
    const failing = createCandidate('failing', {
      isFailing: true,
      expectedWaitMs: 500,
    });
    const lagging = createCandidate('lagging', {knownPosition: null});
    const suspect = createCandidate('suspect', {isSuspect: true});
    expect(choose([suspect, lagging, failing])).toBe('failing');
    expect(choose([suspect, lagging])).toBe('lagging');
    expect(choose([suspect])).toBe('suspect');
  });

  it('tries an unmeasured server of another zone only when the local one is busy', () => {
    const unmeasured = createOtherZone('far', {roundTripMs: null});
    expect(choose([unmeasured, createCandidate('near')])).toBe('near');
    const busy = createCandidate('near', {freeCapacity: 0, expectedWaitMs: 15});
    expect(choose([unmeasured, busy])).toBe('far');
  });

  it('never chooses an excluded server and always chooses one if any is allowed', () => {
    fc.assert(
      fc.property(
        anyCandidates,
        anyRequirements,
        fc.integer(),
        (candidates, needed, seed) => {
          const policy = CompletionTimeSelection.create(
            SeededRandom.create(seed),
          );
          const chosen = policy.choose(candidates, needed);
          const allowed = candidates.filter(
            ({backendServer}) => !needed.excluded.has(backendServer),
          );
          if (allowed.length === 0) {
            expect(chosen).toBeNull();
          } else {
            expect(allowed).toContain(chosen);
          }
        },
      ),
      {numRuns: 2_000},
    );
  });

  it('never chooses a suspect, failing or lagging server while another is allowed', () => {
    fc.assert(
      fc.property(
        anyCandidates,
        anyRequirements,
        fc.integer(),
        (drawn, needed, seed) => {
          const candidates = [
            ...drawn,
            createCandidate('good', {
              knownPosition: {term: 1, position: 20},
              expectedWaitMs: 10_000,
              freeCapacity: 0,
            }),
          ];
          const chosen = CompletionTimeSelection.create(
            SeededRandom.create(seed),
          ).choose(candidates, needed);
          expect(chosen?.isSuspect).toBe(false);
          expect(chosen?.isFailing).toBe(false);
          const canServe =
            chosen !== null &&
            (chosen.isPrimary || isExpectedToCoverPosition(chosen, needed));
          expect(canServe).toBe(true);
        },
      ),
    );
  });

  it('repeats its choices for the same random source', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(anyCandidates, anyRequirements), {maxLength: 10}),
        fc.integer(),
        (inputs, seed) => {
          const [first, second] = [seed, seed].map(each => {
            const policy = CompletionTimeSelection.create(
              SeededRandom.create(each),
            );
            return inputs.map(([candidates, needed]) =>
              policy.choose(candidates, needed),
            );
          });
          expect(second).toEqual(first);
        },
      ),
    );
  });

  it('depends on what was measured and not on names', () => {
    fc.assert(
      fc.property(
        anyCandidates,
        anyRequirements,
        fc.integer(),
        (candidates, needed, seed) => {
          const choose = (
            drawn: readonly SelectionCandidate[],
            requirements: SelectionRequirements,
          ) =>
            CompletionTimeSelection.create(SeededRandom.create(seed)).choose(
              drawn,
              requirements,
            );
          const renamed = candidates.map(candidate => ({
            ...candidate,
            backendServer: `x-${candidate.backendServer}`,
            availabilityZone: `x-${candidate.availabilityZone}`,
          }));
          const choice = choose(candidates, needed);
          const renamedChoice = choose(renamed, {
            ...needed,
            availabilityZone: `x-${needed.availabilityZone}`,
            excluded: new Set([...needed.excluded].map(name => `x-${name}`)),
          });
          expect(renamedChoice?.backendServer ?? null).toBe(
            choice === null ? null : `x-${choice.backendServer}`,
          );
        },
      ),
    );
  });
});
