import type {LeaseOutcome} from './pool_types.js';

/** Decides how many requests a pool sends to its backend server at once. */

/** Observation of a released lease. @internal */
export interface ConcurrencySample {
  /** Duration, or null if it includes more than the server's own work. */
  readonly latencyMs: number | null;
  /** Kind of work; latencies are comparable only within a kind. */
  readonly workKind: string;
  /** Active leases at the start of this one, including itself. */
  readonly activeAtStart: number;
  readonly outcome: LeaseOutcome;
}

/** Derives a concurrency limit from a server's responses. @internal */
export interface ConcurrencyControl {
  /** The current limit as an integer, at least 1. */
  readonly value: number;
  setBounds(minimum: number, maximum: number): void;
  record(sample: ConcurrencySample): void;
  /**
   * Starts over with a low limit, because the server has restarted or its
   * earlier latencies no longer apply.
   */
  restart(): void;
}

/** Bounds and initial value of an adaptive control. @internal */
export interface ConcurrencyOptions {
  readonly minimum: number;
  readonly maximum: number;
  /** Configured concurrency of the server; the initial limit. */
  readonly slots: number;
}
