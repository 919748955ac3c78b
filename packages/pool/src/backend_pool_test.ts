import {beforeEach, describe, expect, it} from 'vitest';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {RequestPriority} from '@filbertrun/model/configuration.js';
import {BackendPool} from './backend_pool.js';
import type {ConnectError, PoolError, PoolLease} from './pool_types.js';

let clock: VirtualClock;
let connectResult: Result<null, ConnectError>;
let attempts: number;
let closed: object[];
let pool: BackendPool<object>;

beforeEach(() => {
  clock = VirtualClock.create();
  connectResult = success(null);
  attempts = 0;
  closed = [];
  pool = BackendPool.create<object>({
    clock,
    random: SeededRandom.create(1),
    limits: {maxConnections: 2, slots: 2, maxQueueLength: 3},
    connector: {
      connect: () => {
        attempts++;
        return Promise.resolve(connectResult.ok ? success({}) : connectResult);
      },
      close: connection => closed.push(connection),
      isUsable: () => true,
    },
  });
});

function acquire(
  priority: RequestPriority = 'normal',
  timeoutMs = 1000,
  identity = 'first',
): Promise<Result<PoolLease<object>, PoolError>> {
  const deadlineMs = clock.nowMs() + timeoutMs;
  return pool.acquire({priority, identity, deadlineMs});
}

async function settle(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}

async function lease(): Promise<PoolLease<object>> {
  const result = acquire();
  await settle();
  clock.advance(10);
  const settled = await result;
  if (!settled.ok) {
    throw new Error(settled.error.kind);
  }
  return settled.value;
}

/** Runs one lease, so that the pool knows a mean service time. */
async function serveOne(serviceTimeMs: number): Promise<void> {
  const served = await lease();
  clock.advance(serviceTimeMs);
  served.release('clean');
}

describe('BackendPool', () => {
  it('reuses a clean connection and closes a dirty one', async () => {
    const first = await lease();
    first.release('clean');
    const second = await lease();
    expect(second.connection).toBe(first.connection);
    second.release('dirty');
    const third = await lease();
    expect(third.connection).not.toBe(first.connection);
    expect(closed).toEqual([first.connection]);
  });

  it('does not count the wait for an acknowledgement as service time', async () => {
    await serveOne(10);
    const unacknowledged = await lease();
    clock.advance(5_000);
    unacknowledged.release('unacknowledged');
    expect(closed).toContain(unacknowledged.connection);
    const leases = [await lease(), await lease()];
    const waiting = acquire('normal', 100);
    await settle();
    leases[0]?.release('clean');
    expect((await waiting).ok).toBe(true);
  });

  it('leases the preferred idle connection', async () => {
    const first = await lease();
    const second = await lease();
    first.release('clean');
    second.release('clean');
    const preferred = await pool.acquire({
      priority: 'normal',
      identity: 'first',
      deadlineMs: clock.nowMs() + 1000,
      isPreferred: connection => connection === first.connection,
    });
    expect(preferred.ok && preferred.value.connection).toBe(first.connection);
  });

  it('replaces an idle connection of another identity at the limit', async () => {
    const first = await lease();
    const second = await lease();
    first.release('clean');
    second.release('clean');
    const other = acquire('normal', 1000, 'second');
    await settle();
    clock.advance(10);
    await settle();
    const leased = await other;
    expect(closed).toEqual([first.connection]);
    expect(leased.ok && leased.value.identity).toBe('second');
    expect(pool.getStatus().openConnections).toBe(2);
  });

  it('never replaces a leased connection', async () => {
    await lease();
    const suspended = await lease();
    suspended.suspend();
    void acquire('booking', 1000, 'second');
    await settle();
    clock.advance(100);
    await settle();
    expect(closed).toEqual([]);
    expect(attempts).toBe(2);
  });

  it('opens a connection for each identity that waits', async () => {
    void acquire('normal', 1000, 'first');
    void acquire('normal', 1000, 'second');
    await settle();
    clock.advance(10);
    await settle();
    expect(attempts).toBe(2);
    expect(pool.getStatus().activeLeases).toBe(2);
  });

  it('paces connection attempts', async () => {
    void acquire();
    void acquire();
    await settle();
    expect(attempts).toBe(1);
    clock.advance(9);
    expect(attempts).toBe(1);
    clock.advance(1);
    expect(attempts).toBe(2);
  });

  it('serves a booking before requests of lower priority that arrived earlier', async () => {
    const held = [await lease(), await lease()];
    const served: string[] = [];
    for (const priority of ['lookup', 'normal', 'booking'] as const) {
      void acquire(priority).then(() => served.push(priority));
    }
    held[0]?.release('clean');
    held[1]?.release('clean');
    await settle();
    expect(served).toEqual(['booking', 'normal']);
  });

  it('displaces a lookup from a full queue for a booking', async () => {
    await lease();
    await lease();
    const lookups = [acquire('lookup'), acquire('lookup'), acquire('lookup')];
    const refused = await acquire('lookup');
    void acquire('booking');
    expect(refused).toMatchObject({error: {kind: 'overloaded'}});
    expect(await lookups[2]).toMatchObject({error: {kind: 'overloaded'}});
    expect(pool.getStatus().queueLength).toBe(3);
  });

  it('refuses a request on arrival if it expects to serve it near or after the deadline', async () => {
    await serveOne(100);
    await lease();
    await lease();
    expect(await acquire('normal', 105)).toEqual(
      failure({kind: 'overloaded', retryAfterMs: expect.any(Number)}),
    );
    void acquire('normal', 115);
    expect(pool.getStatus().queueLength).toBe(1);
  });

  it('refuses a queued request at its deadline, and not before', async () => {
    await lease();
    await lease();
    let result: Result<unknown, PoolError> | null = null;
    void acquire('normal', 50).then(settled => {
      result = settled;
    });
    clock.advance(49);
    await settle();
    expect(result).toBeNull();
    clock.advance(1);
    await settle();
    expect(result).toMatchObject({error: {kind: 'overloaded'}});
  });

  it('keeps a request queued and backs off when the connection limit is reached', async () => {
    connectResult = failure({kind: 'refused'});
    const result = acquire();
    await settle();
    expect(pool.getStatus().queueLength).toBe(1);
    connectResult = success(null);
    clock.advance(40);
    expect((await result).ok).toBe(true);
    expect(attempts).toBe(2);
  });

  it('refuses requests immediately while the backend server is unreachable', async () => {
    connectResult = failure({kind: 'unreachable', reason: 'ECONNREFUSED'});
    expect(await acquire()).toMatchObject({error: {kind: 'unreachable'}});
    expect(await acquire()).toMatchObject({error: {kind: 'unreachable'}});
    expect(attempts).toBe(1);
  });

  it('increases the delay between failing attempts up to a limit', async () => {
    connectResult = failure({kind: 'unreachable', reason: 'ECONNREFUSED'});
    for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 10) {
      void acquire();
      await Promise.resolve();
      await Promise.resolve();
      clock.advance(10);
    }
    expect(attempts).toBeGreaterThan(20);
    expect(attempts).toBeLessThan(60);
  });

  it('does not count a transaction that waits for its caller as active', async () => {
    pool.setLimits({maxConnections: 3, slots: 1});
    const transaction = await lease();
    const limit = pool.getStatus().concurrencyLimit;
    transaction.suspend();
    expect(pool.getStatus()).toMatchObject({
      activeLeases: 0,
      suspendedLeases: 1,
      freeSlots: Math.min(limit, 2),
    });
    transaction.resume();
    expect(pool.getStatus().activeLeases).toBe(1);
  });

  it('closes idle connections above a lowered limit', async () => {
    const held = [await lease(), await lease()];
    held[0]?.release('clean');
    held[1]?.release('clean');
    pool.setLimits({maxConnections: 1});
    expect(closed).toHaveLength(1);
    expect(pool.getStatus().openConnections).toBe(1);
  });

  it('closes connections that stay idle, except for the minimum', async () => {
    const held = [await lease(), await lease()];
    held[0]?.release('clean');
    held[1]?.release('clean');
    clock.advance(120_000);
    expect(pool.getStatus().idleConnections).toBe(1);
  });

  it('refuses new leases while draining and waits for outstanding ones', async () => {
    const held = await lease();
    let isDrained = false;
    void pool.drain().then(() => {
      isDrained = true;
    });
    expect(await acquire()).toMatchObject({error: {kind: 'draining'}});
    await settle();
    expect(isDrained).toBe(false);
    held.release('clean');
    await settle();
    expect(isDrained).toBe(true);
    expect(closed).toEqual([held.connection]);
  });

  it('refuses queued requests when it is disposed', async () => {
    await lease();
    await lease();
    const waiting = acquire();
    pool.dispose();
    expect(await waiting).toEqual(failure({kind: 'disposed'}));
  });

  describe('with the adaptive pacing', () => {
    beforeEach(() => {
      pool.setLimits({maxConnections: 4, slots: 4, minConcurrency: 1});
      pool.setLimits({pacing: 'adaptive'});
    });

    function getLimit(): number {
      return pool.getStatus().concurrencyLimit;
    }

    it('starts at the slots, and at 1 after a restart of the pace', () => {
      expect(getLimit()).toBe(4);
      pool.restartPace();
      expect(getLimit()).toBe(1);
    });

    it('returns to the slots with good responses', async () => {
      pool.restartPace();
      for (let round = 0; round < 8; round++) {
        const held: PoolLease<object>[] = [];
        while (held.length < getLimit()) {
          held.push(await lease());
        }
        held.forEach(each => each.release('clean'));
      }
      expect(getLimit()).toBe(4);
    });

    it.each(['rejected', 'failed', 'timedOut'] as const)(
      'reduces the limit at once when a statement is %s',
      async outcome => {
        const held = await lease();
        held.release('dirty', outcome);
        expect(getLimit()).toBe(2);
      },
    );

    it('keeps the limit when a caller disconnects within a statement', async () => {
      const held = await lease();
      held.release('dirty');
      expect(getLimit()).toBe(4);
    });

    it('counts a timeout whose duration is not a service time', async () => {
      const held = await lease();
      held.release('unacknowledged', 'timedOut');
      expect(getLimit()).toBe(2);
    });

    it('ignores responses to requests from before a restart of the pace', async () => {
      const outdated = [await lease(), await lease(), await lease()];
      pool.restartPace();
      clock.advance(50);
      outdated.forEach(each => each.release('clean'));
      expect(getLimit()).toBe(1);
    });

    it('starts anew at the slots when the pacing is switched', () => {
      pool.restartPace();
      pool.setLimits({pacing: 'fixedStart'});
      expect(getLimit()).toBe(4);
      pool.restartPace();
      expect(getLimit()).toBe(4);
      pool.setLimits({pacing: 'adaptive'});
      expect(getLimit()).toBe(4);
    });
  });
});
