import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import {FakeInstances} from '../testing/fake_instances.js';
import {SessionWorld} from '../testing/session_world.js';
import {ReplicaFreshness} from './replica_freshness.js';

/** Longest age that the reads of these tests accept. */
const MAX_AGE_MS = 1_500;

describe('ReplicaFreshness', () => {
  let world: SessionWorld;
  let instances: FakeInstances;
  let known: readonly BackendServerEntry[] | null;
  let freshness: ReplicaFreshness;

  beforeEach(() => {
    world = SessionWorld.create();
    world.grantLease();
    instances = FakeInstances.create(VirtualClock.create());
    instances.add('p', 'primary', 12);
    instances.add('r1', 'replica', 7);
    instances.add('r2', 'replica', 9);
    known = instances.listEntries();
    freshness = ReplicaFreshness.create({
      clock: world.clock,
      events: world.events,
      instances,
      listKnown: () => known,
    });
    // A primary that left the directory counts as silent.
    world.group.removeServer('p', 'test');
  });

  function getPosition(): number | null {
    const nowMs = world.clock.nowMs();
    const fresh = world.group.getFreshPosition(nowMs, MAX_AGE_MS);
    return fresh?.position.position ?? null;
  }

  it('proves the latest position of all instances but the silent primary', async () => {
    await freshness.maintain(world.group);
    expect(getPosition()).toBe(9);
    world.clock.advance(MAX_AGE_MS);
    expect(getPosition()).toBeNull();
  });

  it('proves nothing unless every one of them answers', async () => {
    instances.get('r1').isRunning = false;
    await freshness.maintain(world.group);
    expect(getPosition()).toBeNull();
  });

  it('proves nothing while it is not known who may still run', async () => {
    known = null;
    await freshness.maintain(world.group);
    expect(getPosition()).toBeNull();
  });

  it('asks again only when the newest proof has become old', async () => {
    await freshness.maintain(world.group);
    instances.get('r2').position = {term: 1, position: 11};
    world.clock.advance(300);
    await freshness.maintain(world.group);
    expect(getPosition()).toBe(9);
    world.clock.advance(400);
    await freshness.maintain(world.group);
    world.clock.advance(MAX_AGE_MS - 500);
    expect(getPosition()).toBe(11);
  });

  it('asks nobody while the primary answers', async () => {
    const reached = SessionWorld.create();
    reached.grantLease();
    await freshness.maintain(reached.group);
    const nowMs = reached.clock.nowMs();
    expect(reached.group.getFreshPosition(nowMs, MAX_AGE_MS)).toBeNull();
  });
});
