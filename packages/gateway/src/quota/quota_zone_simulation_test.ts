import {describe, expect, it} from 'vitest';
import type {CustomerLimit} from '../customer/customer.js';
import {
  QuotaSimulation,
  type QuotaMutation,
  type QuotaSimulationOptions,
} from './quota_zone_simulation.js';

/**
 * Checks with real registrations, quota owners and limiters that a customer
 * never exceeds its limit in any window, whatever is cut off or restarted.
 */

const LIMIT: CustomerLimit = {operationsPerSecond: 20, burstOperations: 20};

/** Proxies that join each zone; enough that one of them is preferred. */
const NEW_PROXIES = 8;

/** Time after a first start until quota owners act. */
const START_MS = 12_000;

/** Load of a customer that presses far beyond its limit. */
const OVERLOAD_PER_SECOND = 150;

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;

function create(
  seed: number,
  changes: Partial<QuotaSimulationOptions> = {},
): QuotaSimulation {
  return new QuotaSimulation({
    seed,
    zones: ZONES,
    proxiesPerZone: 3,
    limit: LIMIT,
    isFirstStart: true,
    ...changes,
  });
}

/** Cuts, kills, restarts, stops and adds proxies at random under overload. */
async function runFaults(simulation: QuotaSimulation): Promise<void> {
  const {random} = simulation;
  const startedNames = simulation.names;
  for (let round = 0; round < 14; round++) {
    const name = startedNames[random.nextInteger(0, startedNames.length - 1)];
    const zone = ZONES[random.nextInteger(0, ZONES.length - 1)];
    if (name === undefined || zone === undefined) {
      continue;
    }
    const ownZone = name.slice(0, name.lastIndexOf('-'));
    switch (random.nextInteger(0, 8)) {
      case 0:
        simulation.cutZones.add(zone);
        break;
      case 1:
        simulation.cutZones.clear();
        simulation.cutFromStore.clear();
        simulation.withoutReads.clear();
        break;
      case 2:
        simulation.cutFromStore.add(name);
        break;
      case 3:
        simulation.kill(name);
        break;
      case 4:
        simulation.start(name, ownZone);
        break;
      case 5:
        await simulation.stop(name);
        break;
      case 6:
        simulation.withoutReads.add(name);
        break;
      case 7:
        simulation.start(`${zone}-new-${round}`, zone);
        break;
      default:
        break;
    }
    const durationMs = random.nextInteger(500, 7_000);
    await simulation.run(durationMs, OVERLOAD_PER_SECOND);
  }
}

/**
 * All proxies lose the store, or only reads of it, then others register in each
 * zone, of which one is preferred as the owner. The load comes after pauses, when
 * all tokens are available.
 */
async function replaceUnseenOwner(
  simulation: QuotaSimulation,
  lost: Set<string>,
): Promise<void> {
  await simulation.run(22_000, OVERLOAD_PER_SECOND);
  for (const name of simulation.names) {
    lost.add(name);
  }
  for (const zone of ZONES) {
    for (let index = 0; index < NEW_PROXIES; index++) {
      simulation.start(`${zone}-new-${index}`, zone);
    }
  }
  await simulation.run(5_000, 0);
  await simulation.run(6_000, OVERLOAD_PER_SECOND);
  await simulation.run(10_800, 0);
  await simulation.run(10_000, OVERLOAD_PER_SECOND);
}

describe('limits of customers over all proxies', () => {
  it('admits nearly all operations below the limit', async () => {
    const simulation = create(1);
    await simulation.run(START_MS, 0);
    await simulation.run(20_000, LIMIT.operationsPerSecond / 1.6);
    const total = simulation.sentAtMs.length + simulation.refusedCount;
    expect(simulation.refusedCount / total).toBeLessThan(0.001);
  });

  it('admits the operations of a customer with all callers in one zone', async () => {
    const simulation = create(2);
    await simulation.run(START_MS, 0);
    const names = simulation.names.filter(name => name.startsWith('zone-b'));
    const rate = LIMIT.operationsPerSecond / 1.6;
    await simulation.run(20_000, rate, names);
    const total = simulation.sentAtMs.length + simulation.refusedCount;
    expect(simulation.refusedCount / total).toBeLessThan(0.01);
  });

  it('keeps a customer that presses within its limit and serves it up to there', async () => {
    const simulation = create(3);
    await simulation.run(START_MS, 0);
    await simulation.run(20_000, OVERLOAD_PER_SECOND);
    expect(simulation.findExcess()).toBeLessThanOrEqual(0);
    const served = simulation.sentAtMs.length / 20;
    expect(served).toBeGreaterThan(LIMIT.operationsPerSecond * 0.95);
  });

  it('serves a zone that is cut off within its share', async () => {
    const simulation = create(4);
    await simulation.run(START_MS, 0);
    simulation.cutZones.add('zone-b');
    const names = simulation.names.filter(name => name.startsWith('zone-b'));
    await simulation.run(6_000, LIMIT.operationsPerSecond / 5, names);
    expect(simulation.refusedCount).toBe(0);
  });

  it('serves at once after all processes were restarted', async () => {
    const simulation = create(5);
    await simulation.run(25_000, 0);
    for (const name of simulation.names) {
      simulation.start(name, name.slice(0, name.lastIndexOf('-')));
    }
    await simulation.run(1_500, 0);
    await simulation.run(5_000, LIMIT.operationsPerSecond / 2);
    const total = simulation.sentAtMs.length + simulation.refusedCount;
    expect(simulation.refusedCount / total).toBeLessThan(0.1);
  });

  it('applies a lowered limit to operations that come later', async () => {
    const lower = {operationsPerSecond: 2, burstOperations: 2};
    const simulation = create(6);
    await simulation.run(START_MS, 0);
    await simulation.run(5_000, OVERLOAD_PER_SECOND);
    simulation.setLimit(lower);
    await simulation.run(500, OVERLOAD_PER_SECOND);
    simulation.sentAtMs.length = 0;
    await simulation.run(10_000, OVERLOAD_PER_SECOND);
    expect(simulation.findExcess(lower)).toBeLessThanOrEqual(0);
  });

  it.each(Array.from({length: 16}, (_, seed) => seed))(
    'never has two owners while registrations are out of date, seed %i',
    async seed => {
      const simulation = create(seed);
      const {cutFromStore, withoutReads} = simulation;
      const lost = seed % 2 === 0 ? cutFromStore : withoutReads;
      await replaceUnseenOwner(simulation, lost);
      expect(simulation.findExcess()).toBeLessThanOrEqual(0);
    },
    60_000,
  );

  it.each(Array.from({length: 24}, (_, seed) => seed))(
    'never exceeds the limit under faults, seed %i',
    async seed => {
      const simulation = create(seed, {isFirstStart: seed % 2 === 0});
      await simulation.run(22_000, OVERLOAD_PER_SECOND);
      await runFaults(simulation);
      expect(simulation.findExcess()).toBeLessThanOrEqual(0);
    },
    60_000,
  );
});

describe('mutants of the limits', () => {
  const mutants: readonly (readonly [string, QuotaMutation])[] = [
    [
      'a proxy acts as owner as soon as it is registered',
      {
        changeRecords: records =>
          records.map(record => ({...record, registeredSinceStoreMs: 0})),
      },
    ],
    ['a proxy acts by registrations of any age', {ignoresViewAge: true}],
    ['the owner grants without a limit', {grantsWithoutLimit: true}],
    ['each zone uses the whole limit', {ignoresZoneCount: true}],
  ];

  it.each(mutants)(
    'detects that %s',
    async (_name, mutation) => {
      let excess = 0;
      for (let seed = 0; seed < 16 && excess <= 0; seed++) {
        const simulation = create(seed, {mutation});
        await replaceUnseenOwner(simulation, simulation.withoutReads);
        excess = simulation.findExcess();
      }
      expect(excess).toBeGreaterThan(0);
    },
    120_000,
  );

  it('detects that a lowered limit is not applied', async () => {
    const lower = {operationsPerSecond: 2, burstOperations: 2};
    const simulation = create(6, {mutation: {ignoresNewLimits: true}});
    await simulation.run(START_MS, 0);
    simulation.setLimit(lower);
    await simulation.run(10_000, OVERLOAD_PER_SECOND);
    expect(simulation.findExcess(lower)).toBeGreaterThan(0);
  });
});
