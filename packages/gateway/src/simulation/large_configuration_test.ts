import {describe, expect, it} from 'vitest';
import {runHistory} from './failover_history.js';
import type {HistoryFault, HistoryPlan} from './history_fault.js';
import type {TransferPlan} from './simulated_transfers.js';

/**
 * Configurations with some thousand routes, zones with seven proxies and narrow
 * links: each version has to be in force in time on the latest proxy, whichever
 * proxies lose the store meanwhile.
 */

/** Some 2,900 routes over links of 10 Mbit/s. */
const LARGE: TransferPlan = {versionBytes: 750_000, linkBytesPerMs: 1_250};

/** Indexes of the proxies of the zone with seven of them, in reading order. */
const CROWDED_PROXIES = [1, 3, 4, 5, 6, 7, 8] as const;

const SEEDS = [1, 2, 3] as const;

function changeConfiguration(
  ...atMs: readonly number[]
): readonly HistoryFault[] {
  return atMs.map(at => ({kind: 'changeConfiguration', atMs: at}));
}

function disconnectStore(
  proxies: readonly number[],
  atMs: number,
  forMs: number,
): readonly HistoryFault[] {
  return proxies.map(proxy => ({kind: 'disconnectStore', atMs, forMs, proxy}));
}

/** Disconnects each next zone reader before the zone has left the one before. */
function loseReadersInTurn(): readonly HistoryFault[] {
  const faults: HistoryFault[] = [];
  for (const [index, proxy] of CROWDED_PROXIES.slice(0, 5).entries()) {
    const atMs = 1_000 + index * 1_300;
    faults.push({kind: 'disconnectStore', atMs, forMs: 12_000, proxy});
  }
  return faults;
}

/** Size of a version with some 60 routes. */
const USUAL_VERSION_BYTES = 16_000;

const USUAL: TransferPlan = {...LARGE, versionBytes: USUAL_VERSION_BYTES};

async function findViolations(
  faults: readonly HistoryFault[],
  transfers: TransferPlan = LARGE,
): Promise<readonly string[]> {
  const found = new Set<string>();
  for (const seed of SEEDS) {
    const plan: HistoryPlan = {seed, layout: 'crowded', transfers, faults};
    const {violations} = await runHistory(plan);
    for (const {rule, detail} of violations) {
      found.add(`${rule}: ${detail}`);
    }
  }
  return [...found];
}

describe('a large configuration', () => {
  // A watch returned each missed version in full and was cut off while it arrived.
  it('catches up after several versions were missed', async () => {
    expect(
      await findViolations([
        ...disconnectStore(CROWDED_PROXIES, 1_000, 9_000),
        ...changeConfiguration(2_000, 3_500, 5_000, 6_500, 8_000, 9_500),
      ]),
    ).toEqual([]);
  });

  // Followers gave up a reader whose link their responses filled, all at once.
  it('reaches all followers of one zone reader', async () => {
    expect(
      await findViolations(changeConfiguration(1_000, 5_000, 9_000, 13_000)),
    ).toEqual([]);
  });

  // A response to any request ended a proxy's own read of the store.
  it('arrives while the zone readers lose the store in turn', async () => {
    expect(
      await findViolations([
        ...disconnectStore([1], 1_000, 9_000),
        ...disconnectStore([3], 2_600, 9_000),
        ...disconnectStore([4], 4_200, 9_000),
        ...disconnectStore([5], 5_800, 9_000),
        ...changeConfiguration(1_200, 2_800, 4_400, 6_000, 8_000, 12_000),
      ]),
    ).toEqual([]);
  });

  // A process without a configuration could not follow, though its neighbours had it.
  it('reaches a process that has just started and gets none from the store', async () => {
    const [, , proxy] = CROWDED_PROXIES;
    expect(
      await findViolations([
        {kind: 'killProxy', atMs: 1_000, proxy},
        {
          kind: 'delayConfiguration',
          atMs: 1_000,
          forMs: 12_000,
          proxies: [proxy],
        },
      ]),
    ).toEqual([]);
  });

  it('of the usual size arrives though each next zone reader has lost the store', async () => {
    expect(
      await findViolations(
        [...loseReadersInTurn(), ...changeConfiguration(1_100)],
        USUAL,
      ),
    ).toEqual([]);
  });

  it('of the usual size arrives in the same histories', async () => {
    expect(
      await findViolations(
        [
          ...disconnectStore([1, 3, 4], 1_000, 9_000),
          ...changeConfiguration(1_200, 2_800, 4_400, 6_000, 8_000, 12_000),
        ],
        USUAL,
      ),
    ).toEqual([]);
  });
});
