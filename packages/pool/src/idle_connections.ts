import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {
  BackendConnector,
  ConnectionIdentity,
  PoolLimits,
} from './pool_types.js';

interface IdleConnection<C> {
  readonly connection: C;
  readonly identity: ConnectionIdentity;
  readonly idleSinceMs: number;
}

/** Value of keeping an idle connection. @internal */
export type ConnectionValue = (
  identity: ConnectionIdentity,
  otherIdle: number,
) => number;

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

  /** Whether a connection of the identity could be used now. */
  hasIdleConnection(identity: ConnectionIdentity): boolean {
    return this.entries.some(
      entry =>
        entry.identity === identity &&
        this.connector.isUsable(entry.connection),
    );
  }

  /** Returns the identities of the idle connections. */
  getIdentities(): readonly ConnectionIdentity[] {
    return this.entries.map(({identity}) => identity);
  }

  setLimits(limits: PoolLimits): void {
    this.limits = limits;
  }

  add(connection: C, identity: ConnectionIdentity): void {
    const idleSinceMs = this.clock.nowMs();
    this.entries.push({connection, identity, idleSinceMs});
    this.schedulePrune();
  }

  /**
   * Removes and returns a usable connection of an identity, or null if there is
   * none. Prefers the most recent one that matches `isPreferred`, then the most
   * recent one.
   */
  take(
    identity: ConnectionIdentity,
    isPreferred: ((connection: C) => boolean) | null = null,
  ): C | null {
    for (;;) {
      const index = this.findIndex(identity, isPreferred);
      const [entry] = index < 0 ? [] : this.entries.splice(index, 1);
      if (entry === undefined) {
        return null;
      }
      if (this.connector.isUsable(entry.connection)) {
        return entry.connection;
      }
      this.connector.close(entry.connection);
    }
  }

  /** Finds the connection to take next; -1 if the identity has none. */
  private findIndex(
    identity: ConnectionIdentity,
    isPreferred: ((connection: C) => boolean) | null,
  ): number {
    let newest = -1;
    for (let index = this.entries.length - 1; index >= 0; index--) {
      const entry = this.entries[index];
      if (entry === undefined || entry.identity !== identity) {
        continue;
      }
      if (isPreferred === null || isPreferred(entry.connection)) {
        return index;
      }
      newest = Math.max(newest, index);
    }
    return newest;
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

  /**
   * Closes up to `count` connections of the lowest value, among equals those
   * idle for longest. `getValue` gets the identity and the number of its other
   * idle connections.
   */
  closeLeastValuable(count: number, getValue: ConnectionValue): void {
    for (let closed = 0; closed < count; closed++) {
      const {index} = this.findLeastValuable(getValue);
      for (const {connection} of this.entries.splice(index, 1)) {
        this.connector.close(connection);
      }
    }
  }

  /** Returns the lowest value of an idle connection, Infinity without one. */
  getLeastValue(getValue: ConnectionValue): number {
    return this.findLeastValuable(getValue).value;
  }

  private findLeastValuable(getValue: ConnectionValue): {
    readonly index: number;
    readonly value: number;
  } {
    const idle = new Map<ConnectionIdentity, number>();
    for (const {identity} of this.entries) {
      idle.set(identity, (idle.get(identity) ?? 0) + 1);
    }
    let least = {index: 0, value: Infinity};
    for (const [index, {identity}] of this.entries.entries()) {
      const value = getValue(identity, (idle.get(identity) ?? 1) - 1);
      if (value < least.value) {
        least = {index, value};
      }
    }
    return least;
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
