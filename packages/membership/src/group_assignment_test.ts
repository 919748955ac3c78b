import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  computeShare,
  getShareHolders,
  type TimedMember,
} from './connection_shares.js';
import {GroupAssignment, type ProxyLocation} from './group_assignment.js';
import {selectNeighbours, selectHeartbeatSenders} from './neighbours.js';

const NODES = 470;
const ZONES = 7;
const GROUPS = 870;
const CONNECTIONS = 20;

const groups = Array.from({length: GROUPS}, (_, index) => `group-${index}`);

function createMembers(count: number): readonly ProxyLocation[] {
  return Array.from({length: count}, (_, index) => ({
    entryVm: `entry-${index}`,
    availabilityZone: `zone-${index % ZONES}`,
  }));
}

function countByName(names: readonly string[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const name of names) {
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}

const all = createMembers(NODES);
const assignment = GroupAssignment.create(all);

describe('group monitors with 470 proxies and 870 groups', () => {
  it('gives each group one monitor in each availability zone', () => {
    for (const group of groups) {
      const monitors = assignment.getMonitors(group);
      expect(new Set(monitors).size).toBe(ZONES);
    }
  });

  it('gives no proxy more than 2.5 times the mean number of groups', () => {
    const monitored = groups.flatMap(group => assignment.getMonitors(group));
    const counts = [...countByName(monitored).values()];
    const mean = (GROUPS * ZONES) / NODES;
    expect(Math.max(...counts)).toBeLessThanOrEqual(mean * 2.5);
  });

  it('reassigns only the groups of a removed proxy', () => {
    const smaller = GroupAssignment.create(all.slice(1));
    for (const group of groups) {
      const before = assignment.getMonitors(group);
      const after = smaller.getMonitors(group);
      const moved = before.filter(name => !after.includes(name));
      expect(moved.filter(name => name !== 'entry-0')).toEqual([]);
    }
  });
});

describe('connection holders with 470 proxies and 870 groups', () => {
  it('divides 20 connections of an instance among 10 proxies', () => {
    for (const group of groups.slice(0, 50)) {
      const holders = assignment.getHolders(group, CONNECTIONS);
      expect(holders).toHaveLength(10);
    }
  });

  it('spreads the holders over the availability zones', () => {
    const zoneOf = new Map(
      all.map(member => [member.entryVm, member.availabilityZone]),
    );
    for (const group of groups.slice(0, 50)) {
      const holders = assignment.getHolders(group, CONNECTIONS);
      const zones = new Set(holders.map(name => zoneOf.get(name)));
      expect(zones.size).toBe(ZONES);
    }
  });

  it('reassigns few holders when a proxy is removed', () => {
    const smaller = GroupAssignment.create(all.slice(1));
    let moves = 0;
    for (const group of groups) {
      const before = assignment.getHolders(group, CONNECTIONS);
      const after = new Set(smaller.getHolders(group, CONNECTIONS));
      moves += before.filter(name => !after.has(name)).length;
    }
    // The mean is 870 × 10 / 470 assignments a proxy; the spread over zones can
    // add a few.
    expect(moves).toBeLessThanOrEqual(60);
  });
});

const memberArbitrary = fc.record({
  index: fc.integer({min: 0, max: 40}),
  zone: fc.integer({min: 0, max: 4}),
});

const populationArbitrary = fc
  .uniqueArray(memberArbitrary, {
    selector: entry => entry.index,
    minLength: 1,
    maxLength: 20,
  })
  .map(entries =>
    entries.map(({index, zone}) => ({
      entryVm: `entry-${index}`,
      availabilityZone: `zone-${zone}`,
    })),
  );

function getShareOf(
  member: ProxyLocation,
  counted: readonly ProxyLocation[],
  maxConnections: number,
): number {
  const instance = {databaseGroup: 'group', maxConnections};
  return computeShare(
    GroupAssignment.create(counted),
    member.entryVm,
    instance,
  );
}

describe('connection shares', () => {
  it('add up to the limit when all proxies agree', () => {
    fc.assert(
      fc.property(
        populationArbitrary,
        fc.integer({min: 1, max: 60}),
        (members, maxConnections) => {
          let sum = 0;
          for (const member of members) {
            sum += getShareOf(member, members, maxConnections);
          }
          expect(sum).toBe(maxConnections);
        },
      ),
      {seed: 11, numRuns: 500},
    );
  });

  it('never exceed the limit when proxies count too many others', () => {
    fc.assert(
      fc.property(
        populationArbitrary,
        fc.array(populationArbitrary, {minLength: 20, maxLength: 20}),
        fc.integer({min: 1, max: 60}),
        (members, extras, maxConnections) => {
          let sum = 0;
          for (const [index, member] of members.entries()) {
            const names = new Set(members.map(entry => entry.entryVm));
            const extra = (extras[index] ?? []).filter(
              entry => !names.has(entry.entryVm),
            );
            const counted = [...members, ...extra];
            sum += getShareOf(member, counted, maxConnections);
          }
          expect(sum).toBeLessThanOrEqual(maxConnections);
        },
      ),
      {seed: 12, numRuns: 500},
    );
  });

  it('count a dead proxy until it must have released its connections, and a proxy that left not at all', () => {
    const self = {entryVm: 'entry-0', availabilityZone: 'a'};
    const createOther = (state: 'dead' | 'left'): TimedMember => ({
      record: {
        ...self,
        entryVm: 'entry-1',
        peerUrl: 'http://x',
        incarnation: 1,
        state,
      },
      changedAtMs: 0,
    });
    const count = (state: 'dead' | 'left', nowMs: number) =>
      getShareHolders(
        {self, joinedAtMs: 0, others: [createOther(state)]},
        nowMs,
      ).length;
    expect(count('dead', 1000)).toBe(2);
    expect(count('dead', 2000)).toBe(1);
    expect(count('left', 0)).toBe(1);
  });
});

describe('neighbours', () => {
  it('are the members whose heartbeat senders include this proxy', () => {
    for (const subject of all.slice(0, 20)) {
      for (const sender of selectHeartbeatSenders(subject, all)) {
        const member = all.find(entry => entry.entryVm === sender);
        const others = all.filter(entry => entry !== member);
        const neighbours = member ? selectNeighbours(member, others) : [];
        expect(neighbours).toContain(subject.entryVm);
      }
    }
  });

  it('are at most 6 per proxy and connect all proxies within 8 hops', () => {
    const reached = new Set(['entry-0']);
    let frontier = ['entry-0'];
    let hops = 0;
    while (frontier.length > 0) {
      const next: string[] = [];
      for (const name of frontier) {
        const self = all.find(entry => entry.entryVm === name);
        const others = all.filter(entry => entry !== self);
        const neighbours = self ? selectNeighbours(self, others) : [];
        expect(neighbours.length).toBeLessThanOrEqual(6);
        next.push(...neighbours.filter(other => !reached.has(other)));
        neighbours.forEach(other => reached.add(other));
      }
      frontier = [...new Set(next)];
      hops++;
    }
    expect(reached.size).toBe(NODES);
    expect(hops).toBeLessThanOrEqual(8);
  });
});
