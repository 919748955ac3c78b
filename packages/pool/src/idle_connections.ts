import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {BackendConnector, PoolLimits} from './pool_types.js';

interface IdleConnection<C> {
  readonly connection: C;
  readonly idleSinceMs: number;
}

/**
 * Clean connections that no session uses, in the order in which they became
 * idle. The latest is used first, so that the others can be closed.
 *
 * @internal
 */
export class IdleConnections<C> {
  private readonly entries: IdleConnection<C>[] = [];
  private pruneTimer: Timer | null = null;

  private constructor(
    private readonly connector: BackendConnector<C>,
    private readonly clock: Clock,
    private limits: PoolLimits,
  ) {}

  static create<C>(
    connector: BackendConnector<C>,
    clock: Clock,
    limits: PoolLimits,
  ): IdleConnections<C> {
    return new IdleConnections(connector, clock, limits);
  }

  get size(): number {
    return this.entries.length;
  }

  setLimits(limits: PoolLimits): void {
    this.limits = limits;
  }

  add(connection: C): void {
    this.entries.push({connection, idleSinceMs: this.clock.nowMs()});
    this.schedulePrune();
  }

  /**
   * Takes a connection that still stands, or null when there is none: the
   * one that needs the fewest preparations, of several the latest.
   */
  take(countPreparations: ((connection: C) => number) | null = null): C | null {
    if (countPreparations !== null) {
      this.moveLast(countPreparations);
    }
    for (;;) {
      const last = this.entries.pop();
      if (last === undefined) {
        return null;
      }
      if (this.connector.isUsable(last.connection)) {
        return last.connection;
      }
      this.connector.close(last.connection);
    }
  }

  /** Makes the connection with the fewest preparations the first to be taken. */
  private moveLast(countPreparations: (connection: C) => number): void {
    let bestIndex = -1;
    let fewest = Number.POSITIVE_INFINITY;
    for (const [index, {connection}] of this.entries.entries()) {
      const count = countPreparations(connection);
      if (count <= fewest) {
        bestIndex = index;
        fewest = count;
      }
    }
    const [best] = this.entries.splice(bestIndex, bestIndex < 0 ? 0 : 1);
    if (best !== undefined) {
      this.entries.push(best);
    }
  }

  /** Forgets a connection that has ended; false when it is not idle. */
  remove(connection: C): boolean {
    const index = this.entries.findIndex(
      entry => entry.connection === connection,
    );
    if (index < 0) {
      return false;
    }
    this.entries.splice(index, 1);
    return true;
  }

  /** Closes up to `count` connections, the longest idle first. */
  close(count: number): void {
    for (const {connection} of this.entries.splice(0, Math.max(0, count))) {
      this.connector.close(connection);
    }
  }

  dispose(): void {
    this.pruneTimer?.cancel();
    this.close(this.size);
  }

  private schedulePrune(): void {
    const oldest = this.entries[0];
    const hasSurplus = this.size > this.limits.minIdleConnections;
    if (oldest === undefined || !hasSurplus || this.pruneTimer !== null) {
      return;
    }
    const dueMs = oldest.idleSinceMs + this.limits.idleTimeoutMs;
    this.pruneTimer = this.clock.startTimer(dueMs - this.clock.nowMs(), () => {
      this.pruneTimer = null;
      this.prune();
    });
  }

  private prune(): void {
    const expiredMs = this.clock.nowMs() - this.limits.idleTimeoutMs;
    let count = 0;
    for (const entry of this.entries) {
      const isKept = this.size - count <= this.limits.minIdleConnections;
      if (isKept || entry.idleSinceMs > expiredMs) {
        break;
      }
      count++;
    }
    this.close(count);
    this.schedulePrune();
  }
}
