import {sleep} from '@filbertrun/base/sleep.js';
import {
  SeededRandom,
  type RandomSource,
} from '@filbertrun/base/random_source.js';
import {success} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {BackendPool} from '@filbertrun/pool/backend_pool.js';
import type {Violation} from './booking_oracle.js';
import type {PathRules} from './path_rules.js';

const SESSION_COUNT = 24;
const DURATION_MS = 800;
const MAX_USE_MS = 60;
const MAX_CONNECT_MS = 20;
const DEADLINE_MS = 500;

/** Time for a connection leased as the drain starts to reach its session. */
const DRAIN_GRACE_MS = 1;

/** Probability that a session leaves state behind on its connection. */
const LEFTOVER_PROBABILITY = 0.3;

/** A connection with the session that left state behind on it, or null. */
interface MarkedConnection {
  leftover: number | null;
}

/**
 * A history of sessions that share the connections of one pool, which is
 * drained at a random time. No session may get a connection with state of
 * another, and the pool may lease no connection after the drain.
 *
 * @public
 */
export class PoolHistory {
  private readonly clock = VirtualClock.create();
  private readonly random: RandomSource;
  private readonly violations: Violation[] = [];
  private readonly pool: BackendPool<MarkedConnection>;
  private drainedAtMs = Infinity;

  private constructor(
    seed: number,
    private readonly rules: PathRules,
  ) {
    this.random = SeededRandom.create(seed);
    this.pool = BackendPool.create<MarkedConnection>({
      connector: {
        connect: async () => {
          await sleep(this.clock, this.random.nextInteger(1, MAX_CONNECT_MS));
          return success({leftover: null});
        },
        close: () => {},
        isUsable: () => true,
      },
      clock: this.clock,
      random: this.random,
      limits: {maxConnections: 3, slots: 2},
    });
  }

  static run(seed: number, rules: PathRules): Promise<readonly Violation[]> {
    return new PoolHistory(seed, rules).run();
  }

  private async run(): Promise<readonly Violation[]> {
    for (let session = 0; session < SESSION_COUNT; session++) {
      this.clock.startTimer(this.random.nextInteger(0, DURATION_MS), () => {
        void this.runSession(session);
      });
    }
    this.clock.startTimer(this.random.nextInteger(0, DURATION_MS), () => {
      this.drainedAtMs = this.clock.nowMs();
      if (this.rules.mustDrainPool()) {
        void this.pool.drain();
      }
    });
    while (this.clock.nowMs() < DURATION_MS + DEADLINE_MS) {
      const delayMs = this.clock.getDelayToNextTimerMs() ?? DEADLINE_MS;
      this.clock.advance(delayMs + 1e-6);
      await new Promise(resolve => setImmediate(resolve));
    }
    return this.violations;
  }

  private async runSession(session: number): Promise<void> {
    const result = await this.pool.acquire({
      identity: 'shared',
      priority: 'booking',
      deadlineMs: this.clock.nowMs() + DEADLINE_MS,
    });
    if (!result.ok) {
      return;
    }
    const {connection} = result.value;
    if (this.clock.nowMs() > this.drainedAtMs + DRAIN_GRACE_MS) {
      this.report('lease after a drain', `session ${session}`);
    }
    if (connection.leftover !== null) {
      const other = connection.leftover;
      this.report(
        'session state leaked',
        `session ${session} got state of ${other}`,
      );
    }
    await sleep(this.clock, this.random.nextInteger(1, MAX_USE_MS));
    const isClean = this.random.nextFloat() >= LEFTOVER_PROBABILITY;
    connection.leftover = isClean ? null : session;
    result.value.release(this.rules.getCondition(isClean));
  }

  private report(rule: string, detail: string): void {
    this.violations.push({rule, detail});
  }
}
