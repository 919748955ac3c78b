import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {failure, type Result} from '@filbertrun/base/result.js';
import {createActor, type ActorRefFrom} from 'xstate';
import {
  connectPacingMachine,
  type ConnectPacingLimits,
} from './connect_pacing_machine.js';
import type {
  BackendConnector,
  ConnectError,
  ConnectionIdentity,
} from './pool_types.js';

/** Callbacks of a `ConnectionOpener`. @internal */
export interface ConnectionOpenerEvents<C> {
  /** Called when a postponed attempt may start. */
  readonly handleReady: () => void;
  readonly handleOpened: (connection: C, identity: ConnectionIdentity) => void;
  readonly handleFailed: (error: ConnectError) => void;
}

/** Options of a `ConnectionOpener`. @internal */
export interface ConnectionOpenerOptions<C> {
  readonly connector: BackendConnector<C>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly limits: ConnectPacingLimits;
  readonly events: ConnectionOpenerEvents<C>;
}

/** Opens connections at a limited rate and backs off on failure. @internal */
export class ConnectionOpener<C> {
  private readonly pacing: ActorRefFrom<typeof connectPacingMachine>;
  private timer: Timer | null = null;
  private isDisposed = false;
  private readonly attempts = new Map<ConnectionIdentity, number>();
  private error: ConnectError | null = null;

  private constructor(private readonly options: ConnectionOpenerOptions<C>) {
    this.pacing = createActor(connectPacingMachine, {
      input: options.limits,
    }).start();
  }

  static create<C>(options: ConnectionOpenerOptions<C>): ConnectionOpener<C> {
    return new ConnectionOpener(options);
  }

  /** Number of attempts in progress. */
  get attemptCount(): number {
    let total = 0;
    for (const count of this.attempts.values()) {
      total += count;
    }
    return total;
  }

  /** Returns the number of attempts in progress by identity. */
  getAttempts(): Map<ConnectionIdentity, number> {
    return new Map(this.attempts);
  }

  /** Error of the last finished attempt, or null if it succeeded. */
  get lastError(): ConnectError | null {
    return this.error;
  }

  /** Time until the next attempt may start, at least 0. */
  getDelayMs(): number {
    const {nextAttemptMs} = this.pacing.getSnapshot().context;
    return Math.max(0, nextAttemptMs - this.options.clock.nowMs());
  }

  /**
   * Starts an attempt for an identity and returns true. If it is too early,
   * schedules `handleReady` and returns false.
   */
  requestAttempt(identity: ConnectionIdentity): boolean {
    if (!this.mayStart()) {
      return false;
    }
    this.startAttempt(identity);
    return true;
  }

  /**
   * Whether an attempt may start now. If it is too early, schedules
   * `handleReady` for the time at which one may start.
   */
  mayStart(): boolean {
    const delayMs = this.getDelayMs();
    if (delayMs <= 0) {
      return true;
    }
    this.timer ??= this.options.clock.startTimer(delayMs, () => {
      this.timer = null;
      this.options.events.handleReady();
    });
    return false;
  }

  dispose(): void {
    this.isDisposed = true;
    this.timer?.cancel();
    this.pacing.stop();
  }

  private startAttempt(identity: ConnectionIdentity): void {
    this.addToCount(identity, 1);
    const nowMs = this.options.clock.nowMs();
    this.pacing.send({type: 'attemptStarted', nowMs});
    void this.options.connector.connect(identity).then(
      result => this.handleResult(identity, result),
      (error: unknown) =>
        this.handleResult(
          identity,
          failure({kind: 'unreachable', reason: String(error)}),
        ),
    );
  }

  private addToCount(identity: ConnectionIdentity, change: number): void {
    const count = (this.attempts.get(identity) ?? 0) + change;
    if (count === 0) {
      this.attempts.delete(identity);
    } else {
      this.attempts.set(identity, count);
    }
  }

  private handleResult(
    identity: ConnectionIdentity,
    result: Result<C, ConnectError>,
  ): void {
    this.addToCount(identity, -1);
    if (this.isDisposed) {
      if (result.ok) {
        this.options.connector.close(result.value);
      }
      return;
    }
    if (result.ok) {
      this.error = null;
      this.pacing.send({type: 'attemptSucceeded'});
      this.options.events.handleOpened(result.value, identity);
      return;
    }
    this.error = result.error;
    this.pacing.send({
      type: 'attemptFailed',
      nowMs: this.options.clock.nowMs(),
      jitter: this.options.random.nextFloat(),
    });
    this.options.events.handleFailed(result.error);
  }
}
