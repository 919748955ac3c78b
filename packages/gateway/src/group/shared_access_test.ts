import {beforeEach, describe, expect, it} from 'vitest';
import type {Customer} from '../customer/customer.js';
import {digestApiKey} from '../customer/api_key_digest.js';
import {CustomerDirectory} from '../customer/customer_directory.js';
import type {SelectionCandidate} from '../routing/server_selection_policy.js';
import {createEntry} from '../testing/fake_instances.js';
import {advanceClock} from '../testing/settle.js';
import {SessionTestHarness} from '../testing/session_test_harness.js';

/** Groups whose connections are shared by proxies, and those that have direct access. */

const READ = {kind: 'read', text: 'READ 1'} as const;

function createCustomer(name: string, key: string): Customer {
  return {name, keyDigests: [digestApiKey(key)], limit: null};
}

describe('GroupRuntime with shared access', () => {
  let harness: SessionTestHarness;

  beforeEach(() => {
    harness = SessionTestHarness.create();
    harness.grantLease();
    harness.customers = CustomerDirectory.create([
      createCustomer('studio', 'k1'),
      createCustomer('agency', 'k2'),
    ]);
    for (const server of harness.group.getServers()) {
      server.recordPosition({term: 1, position: 0});
    }
  });

  /** Lets reads with a bounded age run on any server. */
  function recordBound(): void {
    harness.group.recordFreshnessBound(harness.clock.nowMs(), {
      term: 1,
      position: 0,
    });
  }

  /** Moves a server to another availability zone at a distance. */
  function moveServer(backendServer: string, connectTimeMs: number): void {
    harness.backend.connectTimesMs.set(backendServer, connectTimeMs);
    const role = backendServer === 'p' ? 'primary' : 'replica';
    harness.group.updateServer({
      ...createEntry(backendServer, role),
      availabilityZone: `zone-of-${backendServer}`,
    });
  }

  async function read(apiKey = 'k1'): Promise<string | undefined> {
    recordBound();
    const reply = await harness.run(harness.open('age', apiKey), READ);
    expect(reply.result.kind).toBe('complete');
    return harness.backend.runs.at(-1)?.backendServer;
  }

  /** Opens a connection of an identity and returns it to its pool. */
  async function openIdle(
    backendServer: string,
    identity: string,
  ): Promise<void> {
    const server = harness.group.getServer(backendServer);
    const acquired = server?.pool.acquire({
      priority: 'normal',
      identity,
      deadlineMs: harness.clock.nowMs() + 1_000,
    });
    await advanceClock(harness.clock, 20);
    const lease = await acquired;
    expect(lease?.ok).toBe(true);
    if (lease?.ok === true) {
      lease.value.release('clean');
    }
  }

  function getIdleCount(backendServer: string): number | undefined {
    return harness.group.getServer(backendServer)?.pool.getStatus()
      .idleConnections;
  }

  function getCandidate(
    backendServer: string,
    identity = 'proxy',
  ): SelectionCandidate {
    for (const candidate of harness.group.listCandidates(identity)) {
      if (candidate.backendServer === backendServer) {
        return candidate;
      }
    }
    throw new Error(`There is no candidate ${backendServer}.`);
  }

  it('is off by default', () => {
    expect(harness.group.hasSharedAccess).toBe(false);
  });

  it('switches the selection policy with the access', () => {
    const direct = harness.group.serverSelection;
    harness.group.setSharedAccess(true);
    expect(harness.group.serverSelection).not.toBe(direct);
    harness.group.setSharedAccess(false);
    expect(harness.group.serverSelection).toBe(direct);
  });

  // Guards against 12 ms of a slot for each connection that is opened again
  // after the short timeouts of direct access.
  it('keeps idle connections of a holder to all instances for 30 s', async () => {
    harness.group.setSharedAccess(true);
    harness.group.setHolder(true);
    moveServer('r2', 1.8);
    await openIdle('r2', 'proxy');
    await advanceClock(harness.clock, 29_000);
    expect(getIdleCount('r2')).toBe(1);
    await advanceClock(harness.clock, 2_000);
    expect(getIdleCount('r2')).toBe(0);
  });

  // Guards against one idle connection for each proxy after all have restarted.
  it('closes the idle connections of a proxy that is no holder early', async () => {
    harness.group.setSharedAccess(true);
    await openIdle('r2', 'proxy');
    await advanceClock(harness.clock, 700);
    expect(getIdleCount('r2')).toBe(0);
  });

  it('closes idle connections to distant replicas early with direct access', async () => {
    moveServer('r2', 1.8);
    await openIdle('r2', 'proxy');
    await advanceClock(harness.clock, 700);
    expect(getIdleCount('r2')).toBe(0);
  });

  it('applies to servers that are listed later', async () => {
    harness.group.setSharedAccess(true);
    harness.group.setHolder(true);
    harness.group.updateServer(createEntry('r3', 'replica'));
    await openIdle('r3', 'proxy');
    await advanceClock(harness.clock, 20_000);
    expect(getIdleCount('r3')).toBe(1);
  });

  it('reports the idle connections of an identity and the free capacity', async () => {
    await openIdle('r1', 'studio');
    expect(getCandidate('r1', 'studio').hasIdleConnection).toBe(true);
    expect(getCandidate('r1', 'agency').hasIdleConnection).toBe(false);
    expect(getCandidate('r1').freeCapacity).toBe(3);
    expect(getCandidate('r1').expectedWaitMs).toBe(0);
  });

  it('reports the recent minimum of the connect time', async () => {
    expect(getCandidate('r1').roundTripMs).toBeNull();
    for (const [identity, connectTimeMs] of [
      ['a', 2],
      ['b', 40],
    ] as const) {
      harness.backend.connectTimesMs.set('r1', connectTimeMs);
      await openIdle('r1', identity);
    }
    expect(getCandidate('r1').roundTripMs).toBe(2);
  });

  // Guards against the distance of a former network path after its change.
  it('measures a server again that returns after an interruption', async () => {
    harness.backend.connectTimesMs.set('r1', 2);
    await openIdle('r1', 'a');
    harness.backend.unreachable.add('r1');
    await harness.group.getServer('r1')?.probe();
    expect(getCandidate('r1').isSuspect).toBe(true);
    harness.backend.unreachable.delete('r1');
    await harness.group.getServer('r1')?.probe();
    expect(getCandidate('r1').isSuspect).toBe(false);
    harness.backend.connectTimesMs.set('r1', 9);
    await openIdle('r1', 'a');
    expect(getCandidate('r1').roundTripMs).toBe(9);
  });

  it('measures a server again that was restarted', async () => {
    harness.backend.connectTimesMs.set('r1', 2);
    await openIdle('r1', 'a');
    harness.group.updateServer({
      ...createEntry('r1', 'replica'),
      startedAtEpochMs: 2,
    });
    harness.backend.connectTimesMs.set('r1', 9);
    await openIdle('r1', 'a');
    expect(getCandidate('r1').roundTripMs).toBe(9);
  });

  it('sends the reads of a customer to the replica that has its connections', async () => {
    harness.group.setSharedAccess(true);
    moveServer('r1', 1.8);
    moveServer('r2', 1.8);
    const first = await read();
    expect(first).not.toBe('p');
    for (let count = 0; count < 10; count++) {
      expect(await read()).toBe(first);
    }
    expect(harness.backend.openConnections.size).toBe(1);
  });

  // Guards against reads sent to a server that refuses connections, which has
  // no queue and so looked idle.
  it('avoids a local server whose connection limit is reached', async () => {
    harness.group.setSharedAccess(true);
    moveServer('p', 1.8);
    moveServer('r2', 1.8);
    harness.backend.atConnectionLimit.add('r1');
    await read();
    expect(getCandidate('r1').freeCapacity).toBe(0);
    expect(getCandidate('r1').expectedWaitMs).toBeGreaterThan(100);
    harness.events.events.length = 0;
    for (let count = 0; count < 5; count++) {
      expect(await read()).toBe('r2');
    }
    const retried = harness.events.events.filter(
      ({kind}) => kind === 'statementRetried',
    );
    expect(retried).toEqual([]);
  });

  // Guards against reads that stay with a local server that answers 30 times
  // more slowly than one 0.9 ms away, and that return too late or never.
  it('leaves a local server while it is slow and returns afterwards', async () => {
    harness.group.setSharedAccess(true);
    moveServer('p', 1.8);
    moveServer('r2', 1.8);
    expect(await read()).toBe('r1');
    harness.backend.answerTimesMs.set('r1', 60);
    const whileSlow = [];
    for (let count = 0; count < 20; count++) {
      whileSlow.push(await read());
    }
    expect(whileSlow.slice(-10)).not.toContain('r1');
    harness.backend.answerTimesMs.delete('r1');
    await advanceClock(harness.clock, 10_000);
    const afterwards = new Set<string | undefined>();
    for (let count = 0; count < 20; count++) {
      afterwards.add(await read(count % 2 === 0 ? 'k1' : 'k2'));
    }
    expect(afterwards).toContain('r1');
  });

  it('does not send reads to a replica that lags behind', async () => {
    harness.group.setSharedAccess(true);
    moveServer('p', 1.8);
    expect(await read()).not.toBe('p');
    harness.clock.advance(1_600);
    harness.group.recordFreshnessBound(harness.clock.nowMs(), {
      term: 1,
      position: 5,
    });
    for (const replica of ['r1', 'r2']) {
      harness.group.getServer(replica)?.recordLagOutcome(false, 2_000);
    }
    harness.clock.advance(1_000);
    const reply = await harness.run(harness.open('age', 'k1'), READ);
    expect(reply.result.kind).toBe('complete');
    expect(harness.backend.runs.at(-1)?.backendServer).toBe('p');
  });
});
