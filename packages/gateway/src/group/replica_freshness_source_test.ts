import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import {FakeInstances} from '../testing/fake_instances.js';
import {SessionTestHarness} from '../testing/session_test_harness.js';
import {ReplicaFreshnessSource} from './replica_freshness_source.js';

/** Maximum data age of the reads in these tests. */
const MAX_AGE_MS = 1_500;

describe('ReplicaFreshnessSource', () => {
  let harness: SessionTestHarness;
  let instances: FakeInstances;
  let known: readonly BackendServerEntry[] | null;
  let freshness: ReplicaFreshnessSource;
  let isReplicated: boolean;

  beforeEach(() => {
    harness = SessionTestHarness.create();
    harness.grantLease();
    isReplicated = true;
    instances = FakeInstances.create(VirtualClock.create());
    instances.add('p', 'primary', 12);
    instances.add('r1', 'replica', 7);
    instances.add('r2', 'replica', 9);
    known = instances.listEntries();
    freshness = ReplicaFreshnessSource.create({
      clock: harness.clock,
      events: harness.events,
      instances,
      listKnown: () => known,
      isReplicatedBeforeAcknowledgement: () => isReplicated,
    });
    // A primary that is missing from the directory counts as unreachable.
    harness.group.removeServer('p', 'test');
  });

  function getPosition(): number | null {
    const nowMs = harness.clock.nowMs();
    const fresh = harness.group.getFreshPosition(nowMs, MAX_AGE_MS);
    return fresh?.position.position ?? null;
  }

  it('records the latest position of all instances except the unreachable primary', async () => {
    await freshness.maintain(harness.group);
    expect(getPosition()).toBe(9);
    harness.clock.advance(MAX_AGE_MS);
    expect(getPosition()).toBeNull();
  });

  // Guards against stale reads: the primary had acknowledged more than its
  // replicas hold.
  it('records nothing in a group whose primary acknowledges without its replicas', async () => {
    isReplicated = false;
    await freshness.maintain(harness.group);
    expect(getPosition()).toBeNull();
  });

  it('records nothing unless all of these instances answer', async () => {
    instances.get('r1').isRunning = false;
    await freshness.maintain(harness.group);
    expect(getPosition()).toBeNull();
  });

  it('records nothing while it is unknown which instances may still run', async () => {
    known = null;
    await freshness.maintain(harness.group);
    expect(getPosition()).toBeNull();
  });

  it('queries again only when the newest freshness bound is old', async () => {
    await freshness.maintain(harness.group);
    instances.get('r2').position = {term: 1, position: 11};
    harness.clock.advance(300);
    await freshness.maintain(harness.group);
    expect(getPosition()).toBe(9);
    harness.clock.advance(400);
    await freshness.maintain(harness.group);
    harness.clock.advance(MAX_AGE_MS - 500);
    expect(getPosition()).toBe(11);
  });

  it('queries no instance while the primary is reachable', async () => {
    const connected = SessionTestHarness.create();
    connected.grantLease();
    await freshness.maintain(connected.group);
    const nowMs = connected.clock.nowMs();
    expect(connected.group.getFreshPosition(nowMs, MAX_AGE_MS)).toBeNull();
  });
});
