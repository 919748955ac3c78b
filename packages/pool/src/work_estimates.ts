import {MovingMean} from './moving_mean.js';

/** Estimates of how long a request occupies a slot of the backend server. */

/** Work of a request before any sample, about that of a mixed load. */
const DEFAULT_WORK_MS = 20;

/** Shortest work, so that each entry advances the virtual time of its queue. */
const MIN_WORK_MS = 0.1;

/**
 * Time for which a new connection occupies a slot of the backend server, until it
 * is measured.
 *
 * @public
 */
export const DEFAULT_HANDSHAKE_MS = 12;

/** Time that a transaction holds its connection, until it is measured. */
const DEFAULT_HOLD_MS = 100;

/** Number of kinds with a mean of their own; others share the mean of all. */
const MAX_KINDS = 64;

/** Moving means of the work by kind, the handshake and the hold time. @internal */
export class WorkEstimates {
  private readonly byKind = new Map<string, MovingMean>();
  private readonly ofAll = MovingMean.create(DEFAULT_WORK_MS);
  private readonly handshake = MovingMean.create(DEFAULT_HANDSHAKE_MS);
  private readonly hold = MovingMean.create(DEFAULT_HOLD_MS);

  private constructor() {}

  static create(): WorkEstimates {
    return new WorkEstimates();
  }

  /** Expected time from the start of a connection attempt to its success. */
  get handshakeMs(): number {
    return this.handshake.value;
  }

  /**
   * Expected time of a handshake that finds a free slot. Measured handshakes
   * that are longer than the default have waited for one.
   */
  get unloadedHandshakeMs(): number {
    return Math.min(DEFAULT_HANDSHAKE_MS, this.handshake.value);
  }

  /** Expected time for which a suspended lease holds its connection. */
  get holdMs(): number {
    return this.hold.value;
  }

  /** Mean work over all kinds. */
  get meanWorkMs(): number {
    return Math.max(MIN_WORK_MS, this.ofAll.value);
  }

  /** Expected work of a kind; the mean of all kinds before its first sample. */
  getWorkMs(workKind: string | null): number {
    const mean = workKind === null ? undefined : this.byKind.get(workKind);
    return Math.max(MIN_WORK_MS, (mean ?? this.ofAll).value);
  }

  recordWork(workKind: string | null, workMs: number): void {
    this.ofAll.record(workMs);
    if (workKind === null) {
      return;
    }
    let mean = this.byKind.get(workKind);
    if (mean === undefined && this.byKind.size < MAX_KINDS) {
      mean = MovingMean.create(workMs);
      this.byKind.set(workKind, mean);
    }
    mean?.record(workMs);
  }

  recordHandshake(durationMs: number): void {
    this.handshake.record(durationMs);
  }

  recordHold(durationMs: number): void {
    this.hold.record(durationMs);
  }
}
