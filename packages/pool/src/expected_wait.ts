import type {ConnectionIdentity} from './pool_types.js';
import type {QueuedEntry} from './request_queue.js';

/**
 * Expected time until a request is sent, from the slots, connections and
 * entries ahead of it. All formulas are closed: they assume that slots and
 * connections are released evenly.
 */

/** Load of a pool that a request meets. @internal */
export interface PoolLoad {
  /** Concurrency limit. */
  readonly slots: number;
  /** Slots that replaceable requests leave free. */
  readonly reservedSlots: number;
  readonly activeLeases: number;
  /** Expected work of the active lease that ends next; 0 without a lease. */
  readonly nextReleaseMs: number;
  readonly meanWorkMs: number;
  readonly maxConnections: number;
  readonly suspendedLeases: number;
  /** Expected time for which a suspended lease holds its connection. */
  readonly holdMs: number;
  /** Expected time for which a handshake of an entry ahead occupies a slot. */
  readonly handshakeMs: number;
  /**
   * Expected handshake of the request itself. It does not include the load of
   * the server: even if the connection is ready too late for the request, it
   * serves the caller's next attempt, which otherwise would be rejected too.
   */
  readonly ownHandshakeMs: number;
  /** Shortest time between the starts of two connection attempts. */
  readonly connectIntervalMs: number;
  /** Time until the next connection attempt may start. */
  readonly connectDelayMs: number;
  /** Identities with a connection that is idle, in active use or being opened. */
  readonly connectedIdentities: ReadonlySet<ConnectionIdentity>;
}

/** Sums over the entries that are served before a request. @internal */
export interface WorkAhead {
  readonly count: number;
  /** Expected work, including handshakes. */
  readonly workMs: number;
  readonly handshakes: number;
  readonly irreplaceableCount: number;
  readonly irreplaceableWorkMs: number;
}

/** Adds up entries ahead in the order of service. @internal */
export class WorkAheadSum implements WorkAhead {
  count = 0;
  workMs = 0;
  handshakes = 0;
  irreplaceableCount = 0;
  irreplaceableWorkMs = 0;
  private readonly newIdentities = new Set<ConnectionIdentity>();

  private constructor(private readonly load: PoolLoad) {}

  static create(load: PoolLoad): WorkAheadSum {
    return new WorkAheadSum(load);
  }

  /** Whether an identity still lacks a connection after the added entries. */
  needsHandshake(identity: ConnectionIdentity): boolean {
    return (
      !this.load.connectedIdentities.has(identity) &&
      !this.newIdentities.has(identity)
    );
  }

  add({identity, workMs, isReplaceable}: QueuedEntry): void {
    let occupiedMs = workMs;
    if (this.needsHandshake(identity)) {
      this.newIdentities.add(identity);
      this.handshakes++;
      occupiedMs += this.load.handshakeMs;
    }
    this.count++;
    this.workMs += occupiedMs;
    if (!isReplaceable) {
      this.irreplaceableCount++;
      this.irreplaceableWorkMs += occupiedMs;
    }
  }
}

/** Returns the expected time until a request can be sent. @internal */
export function estimateWaitMs(
  load: PoolLoad,
  ahead: WorkAhead,
  request: {readonly isReplaceable: boolean; readonly needsHandshake: boolean},
): number {
  const waitMs = Math.max(
    request.isReplaceable
      ? estimateSlotWaitMs(load, load.slots - load.reservedSlots, ahead)
      : estimateIrreplaceableSlotWaitMs(load, ahead),
    estimateConnectionWaitMs(load, ahead.count),
  );
  if (!request.needsHandshake) {
    return waitMs;
  }
  const attemptWaitMs =
    load.connectDelayMs + ahead.handshakes * load.connectIntervalMs;
  return Math.max(waitMs, attemptWaitMs) + load.ownHandshakeMs;
}

/** Expected wait until one of `slots` is free for the request. */
function estimateSlotWaitMs(
  load: PoolLoad,
  slots: number,
  ahead: Pick<WorkAhead, 'count' | 'workMs'>,
): number {
  if (slots <= 0) {
    return Infinity;
  }
  if (load.activeLeases + ahead.count < slots) {
    return 0;
  }
  return (ahead.workMs + load.nextReleaseMs) / slots;
}

/**
 * A request that only this server can run gets the earlier of two slots: one
 * after all entries ahead, or a reserved one after the irreplaceable entries.
 */
function estimateIrreplaceableSlotWaitMs(
  load: PoolLoad,
  ahead: WorkAhead,
): number {
  const {slots} = load;
  const sharedWaitMs = estimateSlotWaitMs(load, slots, ahead);
  const reservedSlots = Math.min(load.reservedSlots, slots);
  if (reservedSlots <= 0) {
    return sharedWaitMs;
  }
  const occupiedSlots = Math.max(load.activeLeases, slots - reservedSlots);
  if (occupiedSlots + ahead.irreplaceableCount < slots) {
    return 0;
  }
  const reservedWaitMs =
    (ahead.irreplaceableWorkMs + load.nextReleaseMs) / reservedSlots;
  return Math.min(sharedWaitMs, reservedWaitMs);
}

/**
 * Expected wait until a connection is free. Only suspended leases make
 * connections scarcer than slots: they hold a connection without a slot.
 */
function estimateConnectionWaitMs(load: PoolLoad, countAhead: number): number {
  const {maxConnections, suspendedLeases, activeLeases, slots} = load;
  const usable = Math.max(0, maxConnections - suspendedLeases);
  const missing = activeLeases + countAhead + 1 - usable;
  if (usable >= slots || missing <= 0) {
    return 0;
  }
  const releasesPerMs =
    usable / load.meanWorkMs + suspendedLeases / Math.max(1, load.holdMs);
  return missing / releasesPerMs;
}
