import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {failure, type Result} from '@filbertrun/base/result.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import type {
  InstanceConnection,
  InstanceConnector,
  InstanceEvent,
} from './instance_connector.js';
import type {
  InstanceControl,
  InstanceError,
  InstanceStatus,
} from './instance_control.js';

/** Receives the reports of an instance client. @internal */
export interface InstanceClientListener {
  handleStatus(server: BackendServer, status: InstanceStatus): void;
  handleFailure(server: BackendServer, health: 'refused' | 'silent'): void;
  handleEvent(server: BackendServer, event: InstanceEvent): void;
}

/** Options of an instance client. @internal */
export interface InstanceClientOptions {
  readonly server: BackendServer;
  readonly connector: InstanceConnector;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly listener: InstanceClientListener;
}

/** Shortest and longest delay before reconnecting. */
const MIN_RECONNECT_DELAY_MS = 80;
const MAX_RECONNECT_DELAY_MS = 160;

/**
 * Time without a response to a poll after which the instance is reported as
 * silent.
 */
const UNRESPONSIVE_POLL_MS = 250;

/**
 * Consecutive calls that timed out, polls and commands, after which the client
 * reconnects.
 */
const MAX_UNANSWERED_POLLS = 3;

/** Weight of the newest sample in the smoothed latency. */
const LATENCY_WEIGHT = 0.2;

type Opening = Promise<Result<InstanceConnection, InstanceError>>;

/**
 * Client of one instance. Keeps at most one control connection, and reconnects
 * while the connection is wanted.
 *
 * @internal
 */
export class InstanceClient {
  private connection: InstanceConnection | null = null;
  private opening: Opening | null = null;
  private reconnectTimer: Timer | null = null;
  private isConnectionWanted = false;
  private isDisposed = false;
  private isPolling = false;
  /** Consecutive calls that timed out, including commands. */
  private unansweredPolls = 0;
  private lastPollMs = -Infinity;
  private latencyMs = 0;

  private constructor(private readonly options: InstanceClientOptions) {}

  static create(options: InstanceClientOptions): InstanceClient {
    return new InstanceClient(options);
  }

  getServer(): BackendServer {
    return this.options.server;
  }

  getLatencyMs(): number {
    return this.latencyMs;
  }

  /**
   * Whether the client keeps a connection. Without one, its last failure says
   * nothing about the current state of the instance.
   */
  isWanted(): boolean {
    return this.isConnectionWanted;
  }

  isConnected(): boolean {
    return this.connection !== null;
  }

  /** Opens the connection if `isWanted`, and closes it otherwise. */
  setWanted(isWanted: boolean): void {
    if (this.isConnectionWanted === isWanted) {
      return;
    }
    this.isConnectionWanted = isWanted;
    if (isWanted) {
      void this.open();
    } else {
      this.disconnect();
    }
  }

  /** Polls the status if the last poll began at least `intervalMs` ago. */
  pollIfDue(intervalMs: number): void {
    const isDue = this.options.clock.nowMs() - this.lastPollMs >= intervalMs;
    if (isDue && this.connection !== null && !this.isPolling) {
      void this.poll();
    }
  }

  /** Requests the status and reports it to the listener. */
  async poll(): Promise<Result<InstanceStatus, InstanceError>> {
    this.isPolling = true;
    const startMs = this.options.clock.nowMs();
    this.lastPollMs = startMs;
    // The instance is reported as silent long before the call times out.
    const timer = this.options.clock.startTimer(UNRESPONSIVE_POLL_MS, () =>
      this.options.listener.handleFailure(this.options.server, 'silent'),
    );
    const result = await this.run(control => control.getStatus());
    timer.cancel();
    this.isPolling = false;
    if (result.ok) {
      this.recordLatency(this.options.clock.nowMs() - startMs);
    }
    return result;
  }

  /** Runs a command on the connection, after connecting if necessary. */
  async run<T>(
    command: (control: InstanceControl) => Promise<Result<T, InstanceError>>,
  ): Promise<Result<T, InstanceError>> {
    const opened = await this.open();
    if (!opened.ok) {
      return opened;
    }
    const result = await command(opened.value);
    this.report(result);
    if (!result.ok && result.error.kind === 'unreachable') {
      this.reconnect(opened.value);
    }
    return result;
  }

  dispose(): void {
    this.isDisposed = true;
    this.isConnectionWanted = false;
    this.disconnect();
  }

  private open(): Opening {
    if (this.isDisposed) {
      return Promise.resolve(
        failure({kind: 'unreachable', reason: 'disposed'}),
      );
    }
    if (this.connection !== null) {
      return Promise.resolve({ok: true, value: this.connection});
    }
    this.opening ??= this.connect();
    return this.opening;
  }

  private async connect(): Opening {
    this.cancelReconnect();
    const result = await this.options.connector.connect(
      this.options.server,
      event => this.handleEvent(event),
    );
    this.opening = null;
    if (!result.ok) {
      this.report(result);
      this.scheduleReconnect();
      return result;
    }
    if (this.isDisposed) {
      result.value.close();
      return failure({kind: 'unreachable', reason: 'disposed'});
    }
    this.connection = result.value;
    this.unansweredPolls = 0;
    return result;
  }

  private handleEvent(event: InstanceEvent): void {
    if (this.isDisposed) {
      return;
    }
    if (event.kind === 'closed') {
      this.connection = null;
      this.options.listener.handleFailure(this.options.server, 'refused');
      this.scheduleReconnect();
    }
    this.options.listener.handleEvent(this.options.server, event);
  }

  private report<T>(result: Result<T, InstanceError>): void {
    if (this.isDisposed) {
      return;
    }
    if (result.ok) {
      this.unansweredPolls = 0;
      if (isStatus(result.value)) {
        this.options.listener.handleStatus(this.options.server, result.value);
      }
      return;
    }
    switch (result.error.kind) {
      case 'unreachable':
        this.options.listener.handleFailure(this.options.server, 'refused');
        break;
      case 'timedOut':
        this.options.listener.handleFailure(this.options.server, 'silent');
        this.countUnansweredPoll();
        break;
      case 'rejected':
        this.options.listener.handleStatus(
          this.options.server,
          result.error.status,
        );
        break;
      case 'failed':
        break;
    }
  }

  private countUnansweredPoll(): void {
    this.unansweredPolls++;
    if (
      this.unansweredPolls >= MAX_UNANSWERED_POLLS &&
      this.connection !== null
    ) {
      this.reconnect(this.connection);
    }
  }

  /** Closes a failed connection and schedules a new one. */
  private reconnect(connection: InstanceConnection): void {
    if (this.connection !== connection) {
      return;
    }
    this.disconnect();
    this.scheduleReconnect();
  }

  private disconnect(): void {
    this.cancelReconnect();
    this.connection?.close();
    this.connection = null;
  }

  private scheduleReconnect(): void {
    if (!this.isConnectionWanted || this.reconnectTimer !== null) {
      return;
    }
    const delayMs = this.options.random.nextInteger(
      MIN_RECONNECT_DELAY_MS,
      MAX_RECONNECT_DELAY_MS,
    );
    this.reconnectTimer = this.options.clock.startTimer(delayMs, () => {
      this.reconnectTimer = null;
      void this.open();
    });
  }

  private cancelReconnect(): void {
    this.reconnectTimer?.cancel();
    this.reconnectTimer = null;
  }

  private recordLatency(sampleMs: number): void {
    this.latencyMs =
      this.latencyMs === 0
        ? sampleMs
        : this.latencyMs + LATENCY_WEIGHT * (sampleMs - this.latencyMs);
  }
}

function isStatus(value: unknown): value is InstanceStatus {
  return typeof value === 'object' && value !== null && 'role' in value;
}
