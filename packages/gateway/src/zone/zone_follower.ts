import type {Clock} from '@filbertrun/base/clock.js';
import {sleep} from '@filbertrun/base/sleep.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {runInBackground} from '../observability/background_task.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {PeerClient} from '../peer/peer_client.js';
import type {RequestedUpdate} from './apply_zone_update.js';
import {chooseZoneReader} from './choose_zone_reader.js';
import type {ZoneUpdate, ZoneUpdateRequest} from './zone_update.js';

/** Newest table revisions that a follower knows. @public */
export type KnownRevisions = Pick<
  ZoneUpdateRequest,
  | 'controlRevision'
  | 'directoryRevision'
  | 'configurationRevision'
  | 'knownConfiguration'
>;

/** Dependencies of a follower. @public */
export interface ZoneFollowerOptions {
  readonly self: {
    readonly entryVm: string;
    /** Distinguishes this process from earlier ones on the same entry VM. */
    readonly incarnation: string;
    readonly availabilityZone: string;
  };
  readonly clock: Clock;
  readonly clockJumpDetector: ClockJumpDetector;
  readonly events: GatewayEventRecorder;
  readonly peers: PeerClient;
  getEntryVms(): readonly EntryVmRecord[];
  /**
   * Whether this process may rely on a zone reader: it is registered and has read
   * the directory once. A zone reader also sends the configuration to a process
   * that has none.
   */
  canFollow(): boolean;
  /** Whether the latest reads of the store by this process succeeded. */
  isStoreAvailable(): boolean;
  getKnownRevisions(): KnownRevisions;
  /** Whether the control table should be read more often. */
  isUrgent(): boolean;
  applyUpdate(update: ZoneUpdate, requested: RequestedUpdate): void;
  /** Pauses or resumes the reads of the store by this process. */
  setReading(isReading: boolean): void;
}

/** Time for which a zone reader may hold a response. @public */
export const FOLLOW_WAIT_MS = 1_000;

/** Backoff after a proxy has refused because it does not read the store. */
const REFUSED_BACKOFF_MS = 400;

/** First backoff after a proxy did not respond. */
const MIN_BACKOFF_MS = 2_000;

/** Longest backoff while a proxy remains unresponsive. */
const MAX_BACKOFF_MS = 30_000;

/** Time for which a process that has lost the store prefers another reader. */
const STORE_LOST_BACKOFF_MS = 1_000;

/**
 * Minimum interval between two requests. It limits their rate while the reader
 * responds immediately because of frequent changes.
 */
const MIN_INTERVAL_MS = 50;

interface Backoff {
  readonly incarnation: string;
  readonly untilMs: number;
  /** Length of the backoff; doubled if the proxy is unresponsive again. */
  readonly durationMs: number;
}

interface FailedRequest {
  readonly reader: string;
  readonly waitMs: number;
  readonly durationMs: number;
}

/** Outcome of a request to a zone reader. */
type RequestOutcome = 'answered' | 'refused' | 'unresponsive';

/**
 * Gets updates of the store from another proxy of the zone, the zone reader.
 * Reads the store itself if no proxy that is preferred to this one as the reader
 * responds.
 *
 * @public
 */
export class ZoneFollower {
  private readonly backoffs = new Map<string, Backoff>();
  /** Proxies that refused the last request to them. */
  private readonly refusingReaders = new Set<string>();
  /** Current zone reader; null while this process reads the store itself. */
  private reader: EntryVmRecord | null = null;
  /** Time until which this process is not preferred as the zone reader. */
  private selfBackoffUntilMs = Number.NEGATIVE_INFINITY;
  private isPolling = false;
  private isDisposed = false;

  private constructor(private readonly options: ZoneFollowerOptions) {}

  static create(options: ZoneFollowerOptions): ZoneFollower {
    return new ZoneFollower(options);
  }

  /** Whether this process reads the store itself. */
  get isReading(): boolean {
    return this.reader === null;
  }

  dispose(): void {
    this.isDisposed = true;
  }

  /**
   * Chooses the zone reader and starts to poll it unless a poll is running.
   * Called on each maintenance pass.
   */
  maintain(): void {
    if (this.isPolling || this.isDisposed) {
      return;
    }
    const next = this.chooseReader();
    if (next === null) {
      this.setReader(null, 'no other proxy of the zone is preferred as reader');
      return;
    }
    runInBackground(this.options.events, 'poll of the reader', this.poll(next));
  }

  private chooseReader(): EntryVmRecord | null {
    const {options} = this;
    if (!options.canFollow()) {
      return null;
    }
    const nowMs = options.clock.nowMs();
    if (this.isReading && !options.isStoreAvailable()) {
      this.selfBackoffUntilMs = nowMs + STORE_LOST_BACKOFF_MS;
    }
    const {entryVm, availabilityZone} = options.self;
    return chooseZoneReader({
      entryVm,
      availabilityZone,
      entryVms: options.getEntryVms(),
      isBackedOff: record =>
        record.entryVm === entryVm
          ? nowMs < this.selfBackoffUntilMs
          : this.isBackedOff(record),
    });
  }

  private isBackedOff({entryVm, incarnation}: EntryVmRecord): boolean {
    const backoff = this.backoffs.get(entryVm);
    return (
      backoff?.incarnation === incarnation &&
      this.options.clock.nowMs() < backoff.untilMs
    );
  }

  /** Polls one reader until it fails or another reader is preferred. */
  private async poll(reader: EntryVmRecord): Promise<void> {
    this.isPolling = true;
    try {
      await this.pollUntilReplaced(reader);
    } finally {
      this.isPolling = false;
    }
    this.maintain();
  }

  private async pollUntilReplaced(reader: EntryVmRecord): Promise<void> {
    // No wait in the first request, so an unresponsive proxy is detected early.
    let waitMs = 0;
    for (;;) {
      const startedAtMs = this.options.clock.nowMs();
      const outcome = await this.requestUpdate(reader, waitMs);
      if (this.isDisposed) {
        return;
      }
      if (outcome !== 'answered') {
        this.backOff(reader, outcome);
        return;
      }
      this.setReader(reader, 'it responds');
      waitMs = FOLLOW_WAIT_MS;
      const elapsedMs = this.options.clock.nowMs() - startedAtMs;
      if (elapsedMs < MIN_INTERVAL_MS) {
        await sleep(this.options.clock, MIN_INTERVAL_MS - elapsedMs);
      }
      if (this.chooseReader()?.entryVm !== reader.entryVm) {
        return;
      }
    }
  }

  private async requestUpdate(
    reader: EntryVmRecord,
    waitMs: number,
  ): Promise<RequestOutcome> {
    const {self, peers, clock, clockJumpDetector} = this.options;
    const requestedAt = clockJumpDetector.read();
    const response = await peers.followZone(reader, {
      entryVm: self.entryVm,
      incarnation: self.incarnation,
      ...this.options.getKnownRevisions(),
      isUrgent: this.options.isUrgent(),
      waitMs,
    });
    const durationMs = clock.nowMs() - requestedAt.timeMs;
    const request = {reader: reader.entryVm, waitMs, durationMs};
    if (response.ok && response.value === null) {
      this.recordRefusal(request);
      return 'refused';
    }
    this.refusingReaders.delete(reader.entryVm);
    if (!response.ok) {
      this.recordFailure(request, response.error.reason);
      return 'unresponsive';
    }
    if (response.value !== null && !this.isDisposed) {
      this.options.applyUpdate(response.value, {
        reader: reader.entryVm,
        requestedAt,
        durationMs,
      });
    }
    return 'answered';
  }

  /** A proxy without the store refuses often, so only its first refusal counts. */
  private recordRefusal(request: FailedRequest): void {
    if (!this.refusingReaders.has(request.reader)) {
      this.refusingReaders.add(request.reader);
      this.recordFailure(request, 'it does not read the store');
    }
  }

  private recordFailure(request: FailedRequest, reason: string): void {
    this.options.events.record({kind: 'zoneUpdateFailed', ...request, reason});
  }

  private backOff(
    {entryVm, incarnation}: EntryVmRecord,
    outcome: RequestOutcome,
  ): void {
    const nowMs = this.options.clock.nowMs();
    const known = this.backoffs.get(entryVm);
    const lastDurationMs =
      known?.incarnation === incarnation ? known.durationMs : 0;
    const durationMs =
      outcome === 'refused'
        ? REFUSED_BACKOFF_MS
        : Math.min(
            MAX_BACKOFF_MS,
            Math.max(MIN_BACKOFF_MS, lastDurationMs * 2),
          );
    this.backoffs.set(entryVm, {
      incarnation,
      untilMs: nowMs + durationMs,
      durationMs,
    });
    if (this.reader?.entryVm === entryVm) {
      this.setReader(null, `${entryVm} ${OUTCOME_REASONS[outcome]}`);
    }
  }

  private setReader(reader: EntryVmRecord | null, reason: string): void {
    if (reader?.entryVm === this.reader?.entryVm) {
      return;
    }
    const wasReading = this.isReading;
    this.reader = reader;
    this.options.events.record({
      kind: 'zoneReaderChosen',
      availabilityZone: this.options.self.availabilityZone,
      reader: reader?.entryVm ?? this.options.self.entryVm,
      reason,
    });
    if (wasReading !== this.isReading) {
      this.options.setReading(this.isReading);
    }
  }
}

const OUTCOME_REASONS: Readonly<Record<RequestOutcome, string>> = {
  answered: 'responds',
  refused: 'does not read the store',
  unresponsive: 'does not respond',
};
