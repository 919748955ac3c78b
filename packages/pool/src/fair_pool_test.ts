import {beforeEach, describe, expect, it} from 'vitest';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {success, type Result} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {BackendPool} from './backend_pool.js';
import type {AcquireRequest, PoolError, PoolLease} from './pool_types.js';

let clock: VirtualClock;
let connected: string[];
let closed: number;
let pool: BackendPool<object>;

beforeEach(() => {
  clock = VirtualClock.create();
  connected = [];
  closed = 0;
  pool = BackendPool.create<object>({
    clock,
    random: SeededRandom.create(1),
    limits: {
      maxConnections: 2,
      slots: 2,
      maxQueueLength: 8,
      connectIntervalMs: 0,
      queueing: 'fair',
    },
    connector: {
      connect: identity => {
        connected.push(identity);
        return Promise.resolve(success({}));
      },
      close: () => {
        closed++;
      },
      isUsable: () => true,
    },
  });
});

async function settle(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}

function acquire(
  options: Partial<AcquireRequest<object>> & {readonly timeoutMs?: number} = {},
): Promise<Result<PoolLease<object>, PoolError>> {
  const {timeoutMs = 1000, ...rest} = options;
  return pool.acquire({
    priority: 'normal',
    identity: 'first',
    deadlineMs: clock.nowMs() + timeoutMs,
    ...rest,
  });
}

async function lease(
  options: Parameters<typeof acquire>[0] = {},
): Promise<PoolLease<object>> {
  const settled = await acquire(options);
  if (!settled.ok) {
    throw new Error(settled.error.kind);
  }
  return settled.value;
}

/** Runs leases, so that the pool knows the work of a kind. */
async function measure(workKind: string, workMs: number): Promise<void> {
  for (let count = 0; count < 60; count++) {
    const served = await lease({workKind});
    clock.advance(workMs);
    served.release('clean');
  }
}

function isPending(promise: Promise<unknown>): Promise<boolean> {
  return Promise.race([promise.then(() => false), settle().then(() => true)]);
}

describe('BackendPool with the fair order', () => {
  it('rejects on arrival by the work of the kinds ahead', async () => {
    await measure('long', 100);
    await measure('short', 5);
    await lease({workKind: 'short'});
    await lease({workKind: 'short'});
    void acquire({workKind: 'short', timeoutMs: 20});
    const afterShort = acquire({workKind: 'short', timeoutMs: 30});
    expect(await isPending(afterShort)).toBe(true);
    void acquire({workKind: 'long', timeoutMs: 40});
    expect(await acquire({workKind: 'short', timeoutMs: 50})).toMatchObject({
      error: {kind: 'overloaded'},
    });
    expect(pool.getStatus().rejectionCounts.expectedLate).toBe(1);
  });

  it('rejects a queued entry at once when more urgent ones arrive', async () => {
    await measure('kind', 20);
    await lease();
    await lease();
    const lookup = acquire({priority: 'lookup', timeoutMs: 60});
    expect(await isPending(lookup)).toBe(true);
    for (let count = 0; count < 6; count++) {
      void acquire({priority: 'booking', workKind: 'kind'});
    }
    expect(await isPending(lookup)).toBe(false);
    expect(await lookup).toMatchObject({error: {kind: 'overloaded'}});
    expect(pool.getStatus().rejectionCounts.becameLate).toBe(1);
  });

  it('rejects queued entries at once when the concurrency limit falls', async () => {
    await measure('kind', 20);
    await lease();
    await lease();
    const waiting = Array.from({length: 4}, () =>
      acquire({workKind: 'kind', timeoutMs: 55}),
    );
    expect(pool.getStatus().queueLength).toBe(4);
    pool.setLimits({maxConnections: 1, slots: 1});
    await settle();
    expect(pool.getStatus().queueLength).toBeLessThan(4);
    expect(await waiting[3]).toMatchObject({error: {kind: 'overloaded'}});
  });

  it('rejects queued entries before their deadline when nothing is released', async () => {
    await measure('kind', 20);
    await lease({workKind: 'kind'});
    await lease({workKind: 'kind'});
    void acquire({workKind: 'kind', timeoutMs: 500});
    const second = acquire({workKind: 'kind', timeoutMs: 500});
    clock.advance(495);
    expect(await isPending(second)).toBe(false);
  });

  it('frees the entry of a caller that has disconnected', async () => {
    await lease();
    await lease();
    const abort = new AbortController();
    const waiting = acquire({signal: abort.signal});
    abort.abort();
    expect(await waiting).toEqual({ok: false, error: {kind: 'cancelled'}});
    expect(pool.getStatus()).toMatchObject({
      queueLength: 0,
      rejectionCounts: {cancelled: 1},
    });
  });

  it('keeps reserved slots for requests that only this server can run', async () => {
    pool.setLimits({reservedSlots: 1});
    await lease({isReplaceable: true});
    const replaceable = acquire({isReplaceable: true});
    expect(await isPending(replaceable)).toBe(true);
    expect((await acquire()).ok).toBe(true);
    expect(await isPending(replaceable)).toBe(true);
  });

  it('rejects replaceable requests if all slots are reserved', async () => {
    pool.setLimits({reservedSlots: 2});
    const rejected = await acquire({isReplaceable: true});
    expect(rejected).toMatchObject({
      error: {kind: 'overloaded', retryAfterMs: expect.any(Number)},
    });
    expect((await acquire()).ok).toBe(true);
  });

  it('displaces the entry of an identity that fills the queue', async () => {
    await lease();
    await lease();
    const heavy = Array.from({length: 8}, () => acquire({timeoutMs: 5000}));
    const other = acquire({identity: 'second', timeoutMs: 5000});
    expect(await isPending(other)).toBe(true);
    expect(pool.getStatus().rejectionCounts.queueFull).toBe(1);
    expect(await isPending(Promise.race(heavy))).toBe(false);
    expect(pool.getStatus().queueLength).toBe(8);
  });

  it('expects to wait for connections that transactions hold', async () => {
    const held = [await lease(), await lease()];
    for (const transaction of held) {
      transaction.suspend();
    }
    clock.advance(400);
    expect(await acquire({timeoutMs: 100})).toMatchObject({
      error: {kind: 'overloaded'},
    });
    expect(await isPending(acquire({timeoutMs: 900}))).toBe(true);
  });

  it('keeps queued entries when the order changes', async () => {
    const held = [await lease(), await lease()];
    const waiting = ['lookup', 'booking', 'normal'].map(priority =>
      acquire({priority: priority as 'lookup'}),
    );
    pool.setLimits({queueing: 'priority'});
    pool.setLimits({queueing: 'fair'});
    expect(pool.getStatus().queueLengths).toEqual({
      booking: 1,
      normal: 1,
      lookup: 1,
    });
    held[0]?.release('clean');
    expect(await waiting[1]).toMatchObject({ok: true});
    expect(pool.getStatus().queueLength).toBe(2);
  });

  it('keeps the connection of a frequent identity', async () => {
    for (let count = 0; count < 20; count++) {
      (await lease({identity: 'frequent'})).release('clean');
    }
    (await lease({identity: 'rare'})).release('clean');
    (await lease({identity: 'new'})).release('clean');
    expect(connected).toEqual(['frequent', 'rare', 'new']);
    expect(closed).toBe(1);
    (await lease({identity: 'frequent'})).release('clean');
    expect(connected).toHaveLength(3);
  });

  it('does not replace the connection of another identity for a second one', async () => {
    for (let count = 0; count < 20; count++) {
      (await lease({identity: 'first'})).release('clean');
      (await lease({identity: 'second'})).release('clean');
    }
    const held = await lease({identity: 'first'});
    const waiting = acquire({identity: 'first'});
    expect(await isPending(waiting)).toBe(true);
    expect(connected).toEqual(['first', 'second']);
    held.release('clean');
    expect((await waiting).ok).toBe(true);
  });
});
