import {SeededRandom} from '@filbertrun/base/random_source.js';
import {sleep} from '@filbertrun/base/sleep.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import type {EntryVmRecord} from '../control/control_record.js';
import {FailoverLeaderLease} from '../control/failover_leader_lease.js';
import {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {
  getPrimaryRecordKey,
  type PrimaryRecord,
} from '../group/primary_record.js';
import type {GatewayEvent} from '../observability/gateway_event.js';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import {createChangeDependencies} from '../testing/create_change_dependencies.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {FakeInstances} from '../testing/fake_instances.js';
import {FakePeers} from '../testing/fake_peers.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {advanceClock} from '../testing/settle.js';
import {OrdersInFlight} from './orders_in_flight.js';
import {PrimaryChange, type ChangeOutcome} from './primary_change.js';

/** The fake store's clock and the virtual clock show the same time. */
const LEASE_END_MS = 7_000;

const GROUP = 'group';
const KEY = getPrimaryRecordKey(GROUP);
const STABLE: PrimaryRecord = {
  phase: 'stable',
  databaseGroup: GROUP,
  primary: 'p',
  term: 1,
  writesFromStoreMs: null,
};

/** Record of a change in which an earlier leader has ordered to promote `r1`. */
const EARLIER_ORDER: PrimaryRecord = {
  phase: 'changing',
  databaseGroup: GROUP,
  changeId: 'entry-2-1-1',
  oldPrimary: 'p',
  oldTerm: 1,
  target: 'r1',
  lastOldPosition: null,
};

/** Time after which the order of an earlier leader takes no effect any more. */
const EARLIER_ORDER_MS = 5_900;

describe('PrimaryChange', () => {
  let clock: VirtualClock;
  let table: FakeControlTable;
  let instances: FakeInstances;
  let peers: FakePeers;
  let events: InMemoryEventRecorder;
  let leaderLease: FailoverLeaderLease;
  let outcome: ChangeOutcome | null;
  let orders: OrdersInFlight;
  let listCount: number;

  beforeEach(async () => {
    clock = VirtualClock.create();
    table = FakeControlTable.create(clock);
    instances = FakeInstances.create(clock);
    peers = FakePeers.create();
    events = InMemoryEventRecorder.create();
    outcome = null;
    orders = OrdersInFlight.create();
    listCount = 0;
    leaderLease = FailoverLeaderLease.create({
      entryVm: 'entry-1',
      incarnation: 'one',
      table,
      clockJumpDetector: ClockJumpDetector.create(
        clock,
        FakeWallClock.create(clock),
      ),
      random: SeededRandom.create(1),
      events,
      mayAcquire: () => true,
    });
    await leaderLease.maintain();
    instances.add('p', 'primary', 10);
    instances.add('r1', 'replica', 10);
    instances.add('r2', 'replica', 10);
    peers.acknowledged.set('entry-1', {term: 1, position: 10});
  });

  /** Advances the clock and renews the failover leadership every 100 ms. */
  async function advance(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
      void leaderLease.maintain();
      await advanceClock(clock, 100);
    }
  }

  function start(
    holders: readonly string[] = ['entry-1'],
    record: PrimaryRecord = STABLE,
    recordAgeMs = 0,
  ): void {
    const revision = table.seed(KEY, record);
    const change = PrimaryChange.create(
      {
        ...createChangeDependencies({
          clock,
          table,
          peers,
          instances,
          leaderLease,
          events,
          holders: holders.map(entryVm => ({
            record: createEntryVm(entryVm),
            leaseEndMs: LEASE_END_MS,
          })),
        }),
        orders,
        listInstances: () => {
          listCount++;
          return Promise.resolve(instances.listEntries());
        },
      },
      {record, revision},
      recordAgeMs,
      'unreachable',
    );
    void change.run().then(result => {
      outcome = result;
    });
  }

  it('promotes a replica that holds every acknowledged commit', async () => {
    instances.get('p').isRunning = false;
    instances.get('r1').position = {term: 1, position: 7};
    start();
    await advance(1_000);
    expect(outcome).toBe('completed');
    expect(table.getValue(KEY)).toEqual({...STABLE, primary: 'r2', term: 2});
  });

  it('waits for an unresponsive replica even if another one could be promoted', async () => {
    instances.get('p').isRunning = false;
    instances.get('r2').isRunning = false;
    start();
    await advance(3_000);
    expect(instances.orders).toEqual([]);
    instances.get('r2').isRunning = true;
    await advance(1_000);
    expect(outcome).toBe('completed');
  });

  it('steps down an old primary that returned under a new id', async () => {
    instances.get('p').isRunning = false;
    instances.get('p').isListed = false;
    instances.add('p-again', 'primary', 12);
    start();
    await advance(1_000);
    expect(outcome).toBe('completed');
    expect(instances.get('p-again').role).toBe('replica');
  });

  // A restarted replica confirmed what the proxy went on to acknowledge.
  it('orders nothing until the lease of an unresponsive proxy has expired', async () => {
    instances.get('p').isRunning = false;
    start(['entry-1', 'entry-2']);
    await advance(1_500);
    expect(table.getValue(KEY)).toMatchObject({
      phase: 'changing',
      target: null,
    });
    await advance(LEASE_END_MS + 300 - clock.nowMs());
    expect(instances.orders).toEqual([]);
    await advance(1_500);
    expect(outcome).toBe('completed');
    expect(table.getValue(KEY)).toMatchObject({
      phase: 'stable',
      term: 2,
      writesFromStoreMs: null,
    });
  });

  it('opens writes as soon as the outstanding proxy responds', async () => {
    instances.get('p').isRunning = false;
    start(['entry-1', 'entry-2']);
    await advance(1_500);
    peers.acknowledged.set('entry-2', null);
    await advance(500);
    expect(table.getValue(KEY)).toMatchObject({
      term: 2,
      writesFromStoreMs: null,
    });
  });

  it('publishes the last position of the old term before it promotes', async () => {
    instances.get('p').isRunning = false;
    start();
    await advance(200);
    expect(table.getValue(KEY)).toMatchObject({
      phase: 'changing',
      lastOldPosition: {term: 1, position: 10},
    });
  });

  it('does not promote an instance that lacks a position acknowledged by a proxy', async () => {
    instances.get('p').isRunning = false;
    instances.get('p').isListed = false;
    instances.get('r2').isRunning = false;
    instances.get('r2').isListed = false;
    instances.get('r1').position = {term: 1, position: 7};
    start();
    await advance(3_000);
    expect(instances.orders).toEqual([]);
  });

  it('detects that a write succeeded when its response was lost', async () => {
    instances.get('p').isRunning = false;
    start();
    table.writeMode = 'doneWithoutAnswer';
    await advance(100);
    table.writeMode = 'answered';
    await advance(2_000);
    expect(outcome).toBe('completed');
    expect(table.getValue(KEY)).toMatchObject({phase: 'stable', term: 2});
  });

  it('completes a change whose promotion has already taken effect', async () => {
    instances.get('p').isRunning = false;
    instances.get('r1').role = 'primary';
    instances.get('r1').term = 2;
    start();
    await advance(1_000);
    expect(outcome).toBe('completed');
    expect(instances.orders).toEqual([]);
    expect(table.getValue(KEY)).toMatchObject({primary: 'r1', term: 2});
  });

  // Guards against a change that waits for ever: a pause needs a term above the
  // newest, and the instance that an earlier order made primary was lost.
  it('fences a replica that has followed a primary of a later term', async () => {
    for (const lost of ['p', 'r1']) {
      instances.get(lost).isRunning = false;
      instances.get(lost).isListed = false;
    }
    instances.get('r2').term = 2;
    start();
    await advance(2_000);
    expect(outcome).toBe('completed');
    expect(table.getValue(KEY)).toMatchObject({primary: 'r2'});
  });

  it('abandons the change when the failover leadership is lost', async () => {
    instances.get('p').isRunning = false;
    instances.get('r1').isRunning = false;
    start();
    await advanceClock(clock, 300);
    leaderLease.stopActing('test');
    await advanceClock(clock, 300);
    expect(outcome).toBe('abandoned');
  });

  // Guards against an acknowledged commit that is lost, and against a lower fencing
  // token after a higher one: the order of a leader that has stopped took effect
  // after its successor had promoted another instance.
  it('waits for the recorded order of an earlier leader', async () => {
    instances.get('p').isRunning = false;
    instances.get('r1').position = {term: 1, position: 7};
    instances.takeEffectAfter(3_000, 'r1');
    start(['entry-1'], EARLIER_ORDER);
    await advance(2_900);
    expect(instances.orders).toEqual([]);
    await advance(1_000);
    expect(outcome).toBe('completed');
    expect(instances.orders).toEqual([]);
    expect(table.getValue(KEY)).toMatchObject({primary: 'r1', term: 2});
  });

  it('orders anew once an earlier order can no longer take effect', async () => {
    instances.get('p').isRunning = false;
    start(['entry-1'], EARLIER_ORDER);
    await advance(EARLIER_ORDER_MS - 100);
    expect(instances.orders).toEqual([]);
    await advance(2_000);
    expect(outcome).toBe('completed');
    expect(instances.orders).toHaveLength(1);
  });

  it('counts the time for which the record of an earlier order has been known', async () => {
    instances.get('p').isRunning = false;
    start(['entry-1'], EARLIER_ORDER, EARLIER_ORDER_MS);
    await advance(1_000);
    expect(outcome).toBe('completed');
    expect(instances.orders).toHaveLength(1);
  });

  // Guards against a longer time without writes while the store is slow.
  it('lists the instances once while it waits for an order to take effect', async () => {
    instances.get('p').isRunning = false;
    instances.takeEffectAfter(3_000, 'r1');
    start(['entry-1'], EARLIER_ORDER);
    await advance(4_000);
    expect(outcome).toBe('completed');
    expect(listCount).toBe(1);
  });

  it('does not wait for a recorded order that was refused', async () => {
    instances.get('p').isRunning = false;
    instances.isRefusing = true;
    start();
    await advance(1_000);
    expect(instances.orders.length).toBeGreaterThan(1);
    leaderLease.stopActing('test');
    await advanceClock(clock, 1_000);
    expect(outcome).toBe('abandoned');
    expect(table.getValue(KEY)).toMatchObject({target: null});
  });

  // Guards against stale reads: the first instance found was recorded, although
  // another one had replaced it already.
  it('records the primary of the highest of two later terms', async () => {
    instances.get('p').isRunning = false;
    instances.get('r1').role = 'primary';
    instances.get('r1').term = 2;
    instances.get('r2').role = 'primary';
    instances.get('r2').term = 3;
    start();
    await advance(1_000);
    expect(table.getValue(KEY)).toMatchObject({primary: 'r2', term: 3});
  });

  it('sends no order after leadership was lost while its connection was opened', async () => {
    instances.get('p').isRunning = false;
    instances.beforeSending = async () => {
      leaderLease.stopActing('test');
    };
    start();
    await advanceClock(clock, 2_000);
    expect(outcome).toBe('abandoned');
    expect(instances.orders).toEqual([]);
  });

  it('gives no order once the process is stopping', async () => {
    instances.get('p').isRunning = false;
    void orders.close();
    start();
    await advance(1_000);
    expect(outcome).toBe('abandoned');
    expect(instances.orders).toEqual([]);
    expect(table.getValue(KEY)).toMatchObject({target: null});
  });

  it('sends the fencing token of the failover leader with the promotion order', async () => {
    instances.get('p').isRunning = false;
    start();
    await advance(1_000);
    expect(instances.orders).toMatchObject([
      {failoverLeader: 'entry-1', fencingToken: 1},
    ]);
  });

  function findEvents(kind: GatewayEvent['kind']): readonly GatewayEvent[] {
    return events.events.filter(event => event.kind === kind);
  }

  // Guards against a promotion whose inputs, order and effect cannot be put in
  // order of time from the log.
  it('logs the choice once, and the times from it to the order and its effect', async () => {
    instances.get('p').isRunning = false;
    instances.get('r1').position = {term: 1, position: 7};
    start();
    await advance(1_000);
    const kinds = events.events.map(({kind}) => kind);
    const firstChoice = kinds.indexOf('promotionTargetChosen');
    expect(firstChoice).toBeGreaterThan(0);
    expect(firstChoice).toBeLessThan(kinds.indexOf('promotionOrdered'));
    expect(findEvents('promotionTargetChosen')).toMatchObject([
      {
        changeId: 'entry-1-1-2',
        oldPrimary: 'p',
        oldTerm: 1,
        target: 'r2',
        position: {term: 1, position: 10},
        instanceCount: 3,
        proxies: [{entryVm: 'entry-1', isReleased: true}],
      },
    ]);
    expect(findEvents('promotionOrdered')).toMatchObject([{choiceAgeMs: 0}]);
    expect(findEvents('promotionAnswered')).toMatchObject([
      {outcome: 'accepted', durationMs: 0, sentAfterMs: 0},
    ]);
    const [seen] = findEvents('promotionSeen');
    expect(seen).toMatchObject({
      target: 'r2',
      term: 2,
      receivedPosition: {term: 1, position: 10},
      orderedBy: 'thisLeader',
    });
    const sinceOrderMs = seen?.kind === 'promotionSeen' ? seen.sinceOrderMs : 0;
    expect(sinceOrderMs).toBeGreaterThanOrEqual(300);
    expect(sinceOrderMs).toBeLessThan(450);
  });

  // Guards against an order that was old when it left, which looks like one that
  // took effect slowly.
  it('logs how long the call took and when its first byte left', async () => {
    instances.get('p').isRunning = false;
    instances.beforeSending = () => sleep(clock, 130);
    start();
    await advance(1_000);
    expect(findEvents('promotionAnswered')).toMatchObject([
      {durationMs: 130, sentAfterMs: 130},
    ]);
  });

  it('logs that nothing of a declined order left the process', async () => {
    instances.get('p').isRunning = false;
    instances.beforeSending = async () => {
      leaderLease.stopActing('test');
    };
    start();
    await advanceClock(clock, 500);
    expect(findEvents('promotionAnswered')).toMatchObject([
      {outcome: 'unavailable', sentAfterMs: null},
    ]);
  });

  it('logs the effect of the order of an earlier leader', async () => {
    instances.get('p').isRunning = false;
    instances.takeEffectAfter(1_000, 'r1');
    start(['entry-1'], EARLIER_ORDER, 200);
    await advance(2_000);
    expect(findEvents('promotionSeen')).toMatchObject([
      {
        changeId: 'entry-2-1-1',
        target: 'r1',
        orderedBy: 'earlierLeader',
        sinceOrderMs: null,
      },
    ]);
  });

  it('logs an instance that was promoted without a known order', async () => {
    instances.get('p').isRunning = false;
    instances.get('r1').role = 'primary';
    instances.get('r1').term = 2;
    start();
    await advance(1_000);
    expect(findEvents('promotionSeen')).toMatchObject([
      {target: 'r1', term: 2, orderedBy: 'unknown', sinceOrderMs: null},
    ]);
  });

  // Guards against a replica that follows the old primary again unnoticed.
  it('logs a paused replica that has received more since its pause', async () => {
    instances.get('p').isRunning = false;
    instances.get('r2').isRunning = false;
    start();
    await advance(600);
    instances.get('r1').position = {term: 1, position: 11};
    await advance(600);
    expect(findEvents('fenceChanged')).toMatchObject([
      {
        backendServer: 'r1',
        change: 'longerLog',
        previous: {receivedPosition: {term: 1, position: 10}},
        current: {receivedPosition: {term: 1, position: 11}},
      },
    ]);
  });
});

function createEntryVm(entryVm: string): EntryVmRecord {
  return {
    entryVm,
    availabilityZone: 'zone-a',
    peerHost: '127.0.0.1',
    peerPort: 1,
    incarnation: 'one',
    leaseEndStoreMs: LEASE_END_MS,
    contactWindowMs: null,
    registeredSinceStoreMs: null,
  };
}
