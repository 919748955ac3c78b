import {SeededRandom} from '@filbertrun/base/random_source.js';
import {
  createDrain,
  createGroup,
  createRequest,
} from '@filbertrun/configuration/configuration_fixtures.js';
import {submitChange} from '@filbertrun/configuration/submit_change.js';
import {InMemoryPlatformService} from '@filbertrun/platform/in_memory_platform_service.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {FakeControlCluster} from './fake_control_cluster.js';

const ZONES = ['mrk-a', 'mrk-b', 'agd-a', 'ouz-a'];
const INSTANCE = {databaseGroup: 'sched-db-1', maxConnections: 20};

let cluster: FakeControlCluster;

async function startFiveProxies(): Promise<void> {
  for (let index = 1; index <= 5; index++) {
    cluster.start(index);
  }
  await cluster.advance(5000);
}

function getShares(): readonly number[] {
  return [...cluster.nodes.values()].map(node =>
    node.control.membership.getShare(INSTANCE),
  );
}

function getVersions(): readonly number[] {
  return [...cluster.nodes.values()].map(node =>
    node.control.configuration.getVersion(),
  );
}

async function acceptChange(changeId: string): Promise<void> {
  const {platform, clock} = cluster;
  const change = {
    kind: 'replaceDatabaseGroups',
    databaseGroups: [createGroup(`sched-db-${changeId}`)],
  } as const;
  const random = SeededRandom.create(1);
  await submitChange(createRequest(changeId, change), {
    platform,
    clock,
    random,
  });
}

beforeEach(() => {
  cluster = FakeControlCluster.create(ZONES);
});

describe('membership of proxies', () => {
  it('assigns each of five proxies its connection share', async () => {
    await startFiveProxies();
    expect(getShares()).toEqual([4, 4, 4, 4, 4]);
  });

  it('redistributes the share of a killed proxy within 5 seconds', async () => {
    await startFiveProxies();
    cluster.kill(5);
    await cluster.advance(5000);
    expect(getShares()).toEqual([5, 5, 5, 5]);
  });

  it('redistributes the share of a leaving proxy once it has left', async () => {
    await startFiveProxies();
    const {control} = cluster.getNode(5);
    control.membership.startLeaving();
    await cluster.advance(1000);
    expect(getShares().slice(0, 4)).toEqual([4, 4, 4, 4]);
    void control.membership.endLeaving();
    await cluster.advance(10);
    cluster.kill(5);
    await cluster.advance(1000);
    expect(getShares()).toEqual([5, 5, 5, 5]);
  });

  it('assigns a share to a replacement VM of the same name', async () => {
    await startFiveProxies();
    cluster.kill(5);
    await cluster.advance(10_000);
    cluster.start(5);
    await cluster.advance(6000);
    expect(getShares()).toEqual([4, 4, 4, 4, 4]);
  });

  it('keeps a proxy that is unreachable from only some others', async () => {
    await startFiveProxies();
    cluster.partition([1], [2]);
    await cluster.advance(30_000);
    expect(getShares()).toEqual([4, 4, 4, 4, 4]);
  });

  it('merges membership after a partition heals', async () => {
    await startFiveProxies();
    cluster.partition([1], [2, 3, 4, 5]);
    await cluster.advance(30_000);
    const {membership} = cluster.getNode(1).control;
    expect(membership.getLiveMembers()).toHaveLength(1);
    cluster.network.heal();
    await cluster.advance(15_000);
    expect(getShares()).toEqual([4, 4, 4, 4, 4]);
  });
});

describe('joining and dead proxies', () => {
  it('uses a share only after all other proxies have counted the joiner', async () => {
    const instance = {databaseGroup: 'sched-db-1', maxConnections: 60};
    for (let index = 1; index <= 16; index++) {
      cluster.start(index);
    }
    await cluster.advance(5000);
    cluster.platform.setVmListLagMs(600_000);
    cluster.start(17);
    for (let passedMs = 0; passedMs < 6000; passedMs += 5) {
      await cluster.advance(5);
      let sum = 0;
      for (const {control} of cluster.nodes.values()) {
        sum += control.membership.getShare(instance);
      }
      expect(sum).toBeLessThanOrEqual(60);
    }
    const joined = cluster.getNode(17).control.membership;
    expect(joined.getShare(instance)).toBeGreaterThan(0);
  });

  it('removes a dead proxy from the members and neighbours', async () => {
    await startFiveProxies();
    cluster.kill(5);
    await cluster.advance(5000);
    for (const {control} of cluster.nodes.values()) {
      const members = control.membership.getPresentMembers();
      expect(members.map(member => member.entryVm)).not.toContain('entry-5');
      const neighbours = control.membership.getNeighbours();
      expect(neighbours.map(member => member.entryVm)).not.toContain('entry-5');
    }
  });
});

describe('a proxy that was stalled', () => {
  it('has no share when it resumes, and rejoins', async () => {
    await startFiveProxies();
    const {clock, control} = cluster.getNode(5);
    clock.pause();
    await cluster.advance(8000);
    expect(getShares().slice(0, 4)).toEqual([5, 5, 5, 5]);
    clock.resume();
    expect(control.membership.isSuspended()).toBe(true);
    expect(control.membership.getShare(INSTANCE)).toBe(0);
    expect(control.membership.getLiveMembers()).toHaveLength(4);
    await cluster.advance(5000);
    expect(getShares()).toEqual([4, 4, 4, 4, 4]);
  });

  it('takes no work before it has applied a drain made during the pause', async () => {
    await acceptChange('1');
    await startFiveProxies();
    const {clock, control} = cluster.getNode(5);
    clock.pause();
    const handler = cluster.getNode(1).control.createHandler();
    await handler.submitChange(createRequest('2', createDrain('sched-db-1-a')));
    await cluster.advance(5000);
    expect(control.canDispatch()).toBe(false);
    clock.resume();
    let versionAtFirstWork: number | null = null;
    for (let step = 0; step < 50; step++) {
      if (versionAtFirstWork === null && control.canDispatch()) {
        versionAtFirstWork = control.configuration.getVersion();
      }
      await cluster.advance(1);
    }
    expect(versionAtFirstWork).toBe(2);
  });

  it('detects a stall before its own timer runs', async () => {
    await startFiveProxies();
    const {clock, control} = cluster.getNode(5);
    clock.pause();
    await cluster.advance(3000);
    expect(control.membership.isSuspended()).toBe(true);
  });
});

describe('configuration propagation', () => {
  it('reaches a proxy that has lost the platform', async () => {
    const unavailablePlatform = InMemoryPlatformService.create({
      clock: cluster.clock,
    });
    await acceptChange('1');
    cluster.start(1);
    cluster.start(2);
    await cluster.advance(2000);
    unavailablePlatform.setOutage(true);
    cluster.start(3, unavailablePlatform);
    await cluster.advance(5000);
    expect(getVersions()).toEqual([1, 1, 1]);
    await acceptChange('2');
    await cluster.advance(2000);
    expect(getVersions()).toEqual([2, 2, 2]);
  });

  it('applies a drain on all proxies within 100 ms of acceptance', async () => {
    await acceptChange('1');
    await startFiveProxies();
    const submitted = await cluster
      .getNode(3)
      .control.createHandler()
      .submitChange(createRequest('2', createDrain('sched-db-1-a')));
    expect(submitted.ok).toBe(true);
    // The limit is two seconds.
    await cluster.advance(100);
    expect(getVersions()).toEqual([2, 2, 2, 2, 2]);
  });
});

describe('group view propagation', () => {
  it('reaches every proxy, and a lower term does not replace a higher', async () => {
    await startFiveProxies();
    const view = {databaseGroup: 'sched-db-1', term: 2, primary: 'b'};
    cluster.getNode(1).control.announceGroupView(view);
    cluster.getNode(2).control.announceGroupView({...view, term: 1});
    await cluster.advance(100);
    for (const {control} of cluster.nodes.values()) {
      expect(control.groupViews.getView('sched-db-1')).toEqual(view);
    }
  });

  it('reaches a proxy that was isolated during the announcement', async () => {
    await startFiveProxies();
    cluster.partition([5], [1, 2, 3, 4]);
    const view = {databaseGroup: 'sched-db-1', term: 2, primary: 'b'};
    cluster.getNode(1).control.announceGroupView(view);
    await cluster.advance(3000);
    cluster.network.heal();
    await cluster.advance(10_000);
    const {groupViews} = cluster.getNode(5).control;
    expect(groupViews.getView('sched-db-1')).toEqual(view);
  });

  it('collects suspicions from the monitors of each zone', async () => {
    await startFiveProxies();
    const responses = await Promise.all([
      cluster.getNode(1).control.collectSuspicions('sched-db-1', 1, 500),
      cluster.advance(1000),
    ]);
    const zones = responses[0].map(response => response.availabilityZone);
    expect([...zones].sort()).toEqual([...ZONES].sort());
  });
});
