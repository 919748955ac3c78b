import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {BackendConnector, PoolLimits} from './pool_types.js';

interface IdleConnection<C> {
  readonly connection: C;
  readonly idleSinceMs: number;
}

/**
 * Clean connections that no session uses, ordered by the time at which they
 * became idle. The most recent one is used first, so that the others reach the
 * idle timeout.
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
   * Removes and returns a usable connection, or null if there is none. Prefers
   * the most recent one that matches `isPreferred`, then the most recent one.
   */
  take(isPreferred: ((connection: C) => boolean) | null = null): C | null {
    if (isPreferred !== null) {
      this.movePreferredToEnd(isPreferred);
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

  /** Moves the most recent preferred connection to the end, to be used next. */
  private movePreferredToEnd(isPreferred: (connection: C) => boolean): void {
    for (let index = this.entries.length - 1; index >= 0; index--) {
      const entry = this.entries[index];
      if (entry !== undefined && isPreferred(entry.connection)) {
        this.entries.splice(index, 1);
        this.entries.push(entry);
        return;
      }
    }
  }

  /** Removes a closed connection. Returns false if it was not idle. */
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

  /** Closes up to `count` connections, those idle for longest first. */
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
