import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  anyCandidates,
  anyRequirements,
} from '../testing/selection_candidate.js';
import {chooseBackendServer} from './choose_backend_server.js';
import {FixedCostSelection} from './fixed_cost_selection.js';

describe('FixedCostSelection', () => {
  // Guards against changes of the choice in deployments with direct access.
  it('chooses as chooseBackendServer does, whatever else was measured', () => {
    const policy = FixedCostSelection.create();
    fc.assert(
      fc.property(anyCandidates, anyRequirements, (candidates, needed) => {
        const unmeasured = candidates.map(candidate => ({
          ...candidate,
          roundTripMs: null,
          expectedWaitMs: 0,
          freeCapacity: 0,
          hasIdleConnection: false,
          slowdown: 1,
        }));
        const expected = chooseBackendServer(unmeasured, needed);
        const chosen = policy.choose(candidates, needed);
        expect(chosen?.backendServer).toBe(expected?.backendServer);
      }),
    );
  });
});
