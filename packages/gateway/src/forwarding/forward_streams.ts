import type {Clock} from '@filbertrun/base/clock.js';
import type {Result} from '@filbertrun/base/result.js';
import {runInBackground} from '../observability/background_task.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {ByteChannel} from './byte_channel.js';
import {ForwardClientStream} from './forward_client_stream.js';
import type {Holder} from './holder_directory.js';

/** Opens channels to the holders. @public */
export interface ForwardConnector {
  connect(holder: Holder): Promise<Result<ByteChannel, string>>;
}

/** Options of {@link ForwardStreams}. @public */
export interface ForwardStreamsOptions {
  readonly clock: Clock;
  readonly events: GatewayEventRecorder;
  readonly connector: ForwardConnector;
}

/** First delay before a holder that failed is connected to again. */
const MIN_RETRY_DELAY_MS = 500;

/** Longest such delay. */
const MAX_RETRY_DELAY_MS = 8_000;

/** State of the stream to one process of a holder. */
interface HolderState {
  readonly incarnation: string;
  stream: ForwardClientStream | null;
  connecting: Promise<ForwardClientStream | null> | null;
  failureCount: number;
  /** Monotonic time until which the holder is not used. */
  avoidedUntilMs: number;
}

/** The streams of a follower, one for each holder. @public */
export class ForwardStreams {
  private readonly states = new Map<string, HolderState>();
  private isDisposed = false;

  private constructor(private readonly options: ForwardStreamsOptions) {}

  static create(options: ForwardStreamsOptions): ForwardStreams {
    return new ForwardStreams(options);
  }

  get openCount(): number {
    let count = 0;
    for (const {stream} of this.states.values()) {
      count += stream?.isOpen === true ? 1 : 0;
    }
    return count;
  }

  /**
   * Returns an open stream, or null if the holder must not be used now. Waits
   * only for the first connection to a holder; after a failure, it is connected
   * to in the background while other holders are used.
   */
  async get(holder: Holder): Promise<ForwardClientStream | null> {
    if (this.isDisposed) {
      return null;
    }
    const state = this.getState(holder);
    if (this.options.clock.nowMs() < state.avoidedUntilMs) {
      return null;
    }
    if (state.stream?.isOpen === true) {
      return state.stream;
    }
    const connecting = this.connect(holder, state);
    if (state.failureCount === 0) {
      return connecting;
    }
    runInBackground(this.options.events, 'connection to a holder', connecting);
    return null;
  }

  /**
   * Records that a holder declined or failed, so that others are used. Operations
   * that were under way together count as one failure.
   */
  avoid(holder: Holder): void {
    const state = this.getState(holder);
    const nowMs = this.options.clock.nowMs();
    if (nowMs < state.avoidedUntilMs) {
      return;
    }
    const delayMs = Math.min(
      MAX_RETRY_DELAY_MS,
      MIN_RETRY_DELAY_MS * 2 ** state.failureCount,
    );
    state.failureCount++;
    state.avoidedUntilMs = nowMs + delayMs;
  }

  /** Records that a holder has answered. */
  recordAnswer(holder: Holder): void {
    this.getState(holder).failureCount = 0;
  }

  /**
   * Forgets the holders that are no longer registered and have no open stream.
   * An open stream may carry transactions: a store that is restored from a backup
   * lacks the registrations of running proxies for some time.
   */
  forgetUnregistered(registered: readonly Holder[]): void {
    const known = new Set(registered.map(({entryVm}) => entryVm));
    for (const [entryVm, {stream}] of [...this.states]) {
      if (!known.has(entryVm) && stream?.isOpen !== true) {
        this.states.delete(entryVm);
      }
    }
  }

  dispose(reason: string): void {
    this.isDisposed = true;
    for (const {stream} of this.states.values()) {
      stream?.close(reason);
    }
    this.states.clear();
  }

  private getState({entryVm, incarnation}: Holder): HolderState {
    const known = this.states.get(entryVm);
    if (known?.incarnation === incarnation) {
      return known;
    }
    known?.stream?.close('the holder was restarted');
    const state: HolderState = {
      incarnation,
      stream: null,
      connecting: null,
      failureCount: 0,
      avoidedUntilMs: Number.NEGATIVE_INFINITY,
    };
    this.states.set(entryVm, state);
    return state;
  }

  private connect(
    holder: Holder,
    state: HolderState,
  ): Promise<ForwardClientStream | null> {
    state.connecting ??= this.open(holder, state).finally(() => {
      state.connecting = null;
    });
    return state.connecting;
  }

  private async open(
    holder: Holder,
    state: HolderState,
  ): Promise<ForwardClientStream | null> {
    const {clock, connector} = this.options;
    const channel = await connector.connect(holder);
    if (!channel.ok) {
      this.handleFailure(holder, channel.error);
      return null;
    }
    const isCurrent = this.states.get(holder.entryVm) === state;
    if (!isCurrent || this.isDisposed) {
      channel.value.close();
      return null;
    }
    const stream = ForwardClientStream.create(channel.value, {
      clock,
      handleClosed: reason => this.handleClosed(holder, state, reason),
    });
    state.stream = stream;
    return stream;
  }

  private handleClosed(
    holder: Holder,
    state: HolderState,
    reason: string,
  ): void {
    state.stream = null;
    if (this.states.get(holder.entryVm) === state && !this.isDisposed) {
      this.handleFailure(holder, reason);
    }
  }

  private handleFailure(holder: Holder, reason: string): void {
    this.avoid(holder);
    this.options.events.record({
      kind: 'holderUnreachable',
      holder: holder.entryVm,
      reason,
    });
  }
}
