import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {failure, type Result} from '@filbertrun/base/result.js';
import {createActor, type ActorRefFrom} from 'xstate';
import {
  connectPacingMachine,
  type ConnectPacingLimits,
} from './connect_pacing_machine.js';
import type {BackendConnector, ConnectError} from './pool_types.js';

/** Callbacks of a `ConnectionOpener`. @internal */
export interface ConnectionOpenerEvents<C> {
  /** Called when a postponed attempt may start. */
  readonly handleReady: () => void;
  readonly handleOpened: (connection: C) => void;
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
  private attempts = 0;
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
    return this.attempts;
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
   * Starts an attempt and returns true. If it is too early, schedules
   * `handleReady` for the time at which one may start and returns false.
   */
  requestAttempt(): boolean {
    const delayMs = this.getDelayMs();
    if (delayMs <= 0) {
      this.startAttempt();
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

  private startAttempt(): void {
    this.attempts++;
    const nowMs = this.options.clock.nowMs();
    this.pacing.send({type: 'attemptStarted', nowMs});
    void this.options.connector.connect().then(
      result => this.handleResult(result),
      (error: unknown) =>
        this.handleResult(
          failure({kind: 'unreachable', reason: String(error)}),
        ),
    );
  }

  private handleResult(result: Result<C, ConnectError>): void {
    this.attempts--;
    if (this.isDisposed) {
      if (result.ok) {
        this.options.connector.close(result.value);
      }
      return;
    }
    if (result.ok) {
      this.error = null;
      this.pacing.send({type: 'attemptSucceeded'});
      this.options.events.handleOpened(result.value);
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
