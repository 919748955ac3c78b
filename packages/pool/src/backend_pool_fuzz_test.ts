import fc from 'fast-check';
import {describe, it} from 'vitest';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {RequestPriority} from '@filbertrun/model/configuration.js';
import {BackendPool} from './backend_pool.js';
import type {ConnectError, PoolLease} from './pool_types.js';
import {PRIORITY_ORDER} from './wait_queue.js';

/**
 * Runs random commands against a pool in virtual time and checks the invariants
 * of the pool after each command.
 */

interface Request {
  readonly priority: RequestPriority;
  readonly identity: string;
  readonly deadlineMs: number;
  readonly abort: AbortController;
  endCount: number;
}

interface Lease {
  readonly lease: PoolLease<number>;
  isSuspended: boolean;
}

interface Model {
  isDraining: boolean;
}

class PoolUnderTest {
  readonly clock = VirtualClock.create();
  readonly requests: Request[] = [];
  readonly leases: Lease[] = [];
  readonly pool: BackendPool<number>;
  maxConnections = 3;
  private readonly open = new Set<number>();
  private readonly dead = new Set<number>();
  private readonly attempts: {
    readonly identity: string;
    readonly settle: (result: Result<number, ConnectError>) => void;
  }[] = [];
  private readonly identities = new Map<number, string>();
  private nextConnection = 1;
  private violation: string | null = null;

  constructor() {
    this.pool = BackendPool.create<number>({
      clock: this.clock,
      random: SeededRandom.create(5),
      limits: {maxConnections: 3, slots: 2, maxQueueLength: 4},
      connector: {
        connect: identity =>
          new Promise(settle => {
            this.attempts.push({identity, settle});
            this.checkNewAttempt();
          }),
        close: connection => {
          this.check(this.open.delete(connection), 'closed twice');
        },
        isUsable: connection => !this.dead.has(connection),
      },
    });
  }

  acquire(
    priority: RequestPriority,
    identity: string,
    timeoutMs: number,
  ): void {
    const deadlineMs = this.clock.nowMs() + timeoutMs;
    const abort = new AbortController();
    const request: Request = {
      priority,
      identity,
      deadlineMs,
      abort,
      endCount: 0,
    };
    this.requests.push(request);
    const {signal} = abort;
    void this.pool
      .acquire({priority, identity, deadlineMs, signal})
      .then(result => {
        request.endCount++;
        if (result.ok) {
          this.handleLease(request, result.value);
        }
      });
  }

  settleAttempt(outcome: 'opened' | ConnectError['kind']): void {
    const attempt = this.attempts.shift();
    if (attempt === undefined) {
      return;
    }
    const {identity, settle} = attempt;
    if (outcome === 'opened') {
      const connection = this.nextConnection++;
      this.open.add(connection);
      this.identities.set(connection, identity);
      settle(success(connection));
    } else {
      settle(failure({kind: outcome, reason: 'test'}));
    }
  }

  release(index: number, condition: 'clean' | 'dirty'): void {
    const [entry] = this.leases.splice(index % (this.leases.length || 1), 1);
    entry?.lease.release(condition);
    this.check(
      entry === undefined ||
        condition === 'clean' ||
        !this.open.has(entry.lease.connection),
      'a dirty connection stayed open',
    );
    entry?.lease.release('clean');
  }

  toggleSuspended(index: number): void {
    const entry = this.leases[index % (this.leases.length || 1)];
    if (entry === undefined) {
      return;
    }
    entry.isSuspended = !entry.isSuspended;
    if (entry.isSuspended) {
      entry.lease.suspend();
    } else {
      entry.lease.resume();
    }
  }

  /** Breaks an idle connection, as if the backend server had closed it. */
  breakIdle(isNoticed: boolean): void {
    const leased = new Set(this.leases.map(entry => entry.lease.connection));
    for (const connection of this.open) {
      if (!leased.has(connection) && !this.dead.has(connection)) {
        this.dead.add(connection);
        if (isNoticed) {
          this.open.delete(connection);
          this.pool.handleConnectionClosed(connection);
        }
        return;
      }
    }
  }

  checkInvariants(): void {
    const status = this.pool.getStatus();
    this.check(
      status.idleConnections === 0 || this.open.size <= this.maxConnections,
      'idle connections above the limit',
    );
    this.check(
      status.openConnections === this.open.size,
      'miscounted connections',
    );
    this.check(
      status.activeLeases + status.suspendedLeases === this.leases.length,
      'miscounted leases',
    );
    this.check(status.queueLength <= 4, 'the queue exceeds its limit');
    for (const request of this.requests) {
      this.check(request.endCount <= 1, 'a request ended twice');
      this.check(
        request.endCount === 1 || request.deadlineMs > this.clock.nowMs(),
        'a request is still queued after its deadline',
      );
    }
    if (this.violation !== null) {
      throw new Error(this.violation);
    }
  }

  /** Records the first violation, which may occur in a callback of the pool. */
  private check(condition: boolean, message: string): void {
    if (!condition) {
      this.violation ??= message;
    }
  }

  /** Existing connections may exceed a lowered limit; new attempts may not. */
  private checkNewAttempt(): void {
    const total = this.open.size + this.attempts.length;
    this.check(total <= this.maxConnections, 'more connections than allowed');
  }

  private handleLease(request: Request, lease: PoolLease<number>): void {
    const {connection} = lease;
    this.check(this.open.has(connection), 'leased a closed connection');
    this.check(!this.dead.has(connection), 'leased a dead connection');
    this.check(
      this.identities.get(connection) === request.identity &&
        lease.identity === request.identity,
      'leased a connection of another identity',
    );
    this.check(
      this.clock.nowMs() < request.deadlineMs,
      'served after the deadline',
    );
    this.check(!request.abort.signal.aborted, 'served after the abort');
    for (const other of this.leases) {
      this.check(other.lease.connection !== connection, 'leased twice');
    }
    for (const other of this.requests) {
      const isMoreUrgent =
        PRIORITY_ORDER.indexOf(other.priority) <
        PRIORITY_ORDER.indexOf(request.priority);
      // A request of another identity may be waiting for its connection to open.
      const isSameIdentity = other.identity === request.identity;
      this.check(
        !(isMoreUrgent && isSameIdentity && other.endCount === 0),
        'a more urgent request is still queued',
      );
    }
    this.leases.push({lease, isSuspended: false});
  }
}

type PoolCommand = fc.AsyncCommand<Model, PoolUnderTest>;

function createCommand(
  name: string,
  run: (real: PoolUnderTest, model: Model) => void | Promise<void>,
): PoolCommand {
  return {
    check: () => true,
    toString: () => name,
    run: async (model, real) => {
      await run(real, model);
      // Let the promises of this step settle.
      await new Promise(resolve => setImmediate(resolve));
      real.checkInvariants();
    },
  };
}

const commands = [
  fc
    .tuple(
      fc.constantFrom<RequestPriority>('booking', 'normal', 'lookup'),
      fc.constantFrom('first', 'second', 'third'),
      fc.integer({min: -1, max: 200}),
    )
    .map(([priority, identity, timeoutMs]) =>
      createCommand(
        `acquire ${priority} ${identity} within ${timeoutMs}`,
        real => real.acquire(priority, identity, timeoutMs),
      ),
    ),
  fc
    .constantFrom('opened' as const, 'refused' as const, 'unreachable' as const)
    .map(outcome =>
      createCommand(`attempt ${outcome}`, real => real.settleAttempt(outcome)),
    ),
  fc
    .constant(0)
    .map(() =>
      createCommand('attempt opened', real => real.settleAttempt('opened')),
    ),
  fc
    .tuple(fc.nat(5), fc.constantFrom('clean' as const, 'dirty' as const))
    .map(([index, condition]) =>
      createCommand(`release ${index} ${condition}`, real =>
        real.release(index, condition),
      ),
    ),
  fc
    .nat(5)
    .map(index =>
      createCommand(`suspend or resume ${index}`, real =>
        real.toggleSuspended(index),
      ),
    ),
  fc
    .integer({min: 1, max: 60})
    .map(durationMs =>
      createCommand(`advance ${durationMs}`, real =>
        real.clock.advance(durationMs),
      ),
    ),
  fc.nat(20).map(index =>
    createCommand(`abort ${index}`, real => {
      const waiting = real.requests.filter(request => request.endCount === 0);
      waiting[index % (waiting.length || 1)]?.abort.abort();
    }),
  ),
  fc.integer({min: 1, max: 4}).map(maxConnections =>
    createCommand(`limit ${maxConnections}`, real => {
      real.maxConnections = maxConnections;
      real.pool.setLimits({maxConnections});
    }),
  ),
  fc
    .boolean()
    .map(isNoticed =>
      createCommand('break an idle connection', real =>
        real.breakIdle(isNoticed),
      ),
    ),
  fc.constant(0).map(() =>
    createCommand('drain or reopen', (real, model) => {
      model.isDraining = !model.isDraining;
      if (model.isDraining) {
        void real.pool.drain();
      } else {
        real.pool.reopen();
      }
    }),
  ),
];

describe('BackendPool under random commands', () => {
  it('respects its limits, exclusive leases and deadlines', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.commands(commands, {maxCommands: 60, size: 'max'}),
        async list => {
          const real = new PoolUnderTest();
          await fc.asyncModelRun(
            () => ({model: {isDraining: false}, real}),
            list,
          );
          real.clock.advance(1000);
          await new Promise(resolve => setImmediate(resolve));
          real.checkInvariants();
        },
      ),
      {seed: 51, numRuns: 400},
    );
  });
});
