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
const SPAN_MS = 800;
const USE_LIMIT_MS = 60;
const CONNECT_LIMIT_MS = 20;
const DEADLINE_MS = 500;

/** Time for a lease of the moment of the drain to reach its session. */
const DRAIN_GRACE_MS = 1;

/** Share of sessions that leave something behind on their connection. */
const LEFTOVER_SHARE = 0.3;

/** A connection that remembers what a session left behind. */
interface MarkedConnection {
  leftover: number | null;
}

/**
 * A history of sessions that share the connections of one pool, which is
 * drained at some moment. No session may find what another left, and nothing
 * may be leased after the drain.
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
          await sleep(this.clock, this.random.nextInteger(1, CONNECT_LIMIT_MS));
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
      this.clock.startTimer(this.random.nextInteger(0, SPAN_MS), () => {
        void this.use(session);
      });
    }
    this.clock.startTimer(this.random.nextInteger(0, SPAN_MS), () => {
      this.drainedAtMs = this.clock.nowMs();
      if (this.rules.mustDrainPool()) {
        void this.pool.drain();
      }
    });
    while (this.clock.nowMs() < SPAN_MS + DEADLINE_MS) {
      const delayMs = this.clock.getDelayToNextTimerMs() ?? DEADLINE_MS;
      this.clock.advance(delayMs + 1e-6);
      await new Promise(resolve => setImmediate(resolve));
    }
    return this.violations;
  }

  private async use(session: number): Promise<void> {
    const result = await this.pool.acquire({
      priority: 'booking',
      deadlineMs: this.clock.nowMs() + DEADLINE_MS,
    });
    if (!result.ok) {
      return;
    }
    const {connection} = result.value;
    if (this.clock.nowMs() > this.drainedAtMs + DRAIN_GRACE_MS) {
      this.report('work after a drain', `session ${session}`);
    }
    if (connection.leftover !== null) {
      const other = connection.leftover;
      this.report('sessions mixed', `session ${session} finds ${other}`);
    }
    await sleep(this.clock, this.random.nextInteger(1, USE_LIMIT_MS));
    const isClean = this.random.nextFloat() >= LEFTOVER_SHARE;
    connection.leftover = isClean ? null : session;
    result.value.release(this.rules.getCondition(isClean));
  }

  private report(rule: string, detail: string): void {
    this.violations.push({rule, detail});
  }
}
