import type {Clock} from '@filbertrun/base/clock.js';
import {pause} from '@filbertrun/base/pause.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {ClockReading, ClockWatch} from '../group/clock_watch.js';
import type {GatewayEvents} from '../observability/gateway_events.js';
import type {PeerCaller} from '../peer/peer_caller.js';
import {chooseZoneReader} from './choose_zone_reader.js';
import type {ZoneNews, ZoneQuestion} from './zone_news.js';

/** Revisions that a follower knows. @public */
export type KnownRevisions = Pick<
  ZoneQuestion,
  'controlRevision' | 'directoryRevision' | 'configurationRevision'
>;

/** What a follower needs of the process. @public */
export interface ZoneFollowerOptions {
  readonly self: {
    readonly entryVm: string;
    readonly incarnation: string;
    readonly availabilityZone: string;
  };
  readonly clock: Clock;
  readonly clockWatch: ClockWatch;
  readonly events: GatewayEvents;
  readonly peers: PeerCaller;
  getEntryVms(): readonly EntryVmRecord[];
  /** Whether this process may rely on another one: it is registered and has read everything once. */
  canFollow(): boolean;
  /** Whether the store answers this process, as far as it has tried. */
  isStoreAnswering(): boolean;
  getKnownRevisions(): KnownRevisions;
  /** Whether the control table should be read more often. */
  isUrgent(): boolean;
  /** Takes news; `askedAt` is when the question was sent. */
  handleNews(news: ZoneNews, askedAt: ClockReading): void;
  /** Stops or resumes this process's own reads of the store. */
  setReading(isReading: boolean): void;
}

/** Time for which a reader may hold an answer back. @public */
export const FOLLOW_WAIT_MS = 1_000;

/** Time for which a proxy that refused is passed over. */
const REFUSED_MS = 400;

/** Time for which a proxy that did not answer is passed over at first. */
const MIN_SILENT_MS = 2_000;

/** Longest time for which it is passed over when it stays silent. */
const MAX_SILENT_MS = 30_000;

/** Time for which a process whose store does not answer seeks another reader. */
const STORE_LOST_MS = 1_000;

/** Least time between two questions, whatever is new. */
const MIN_INTERVAL_MS = 50;

interface PassedOver {
  readonly incarnation: string;
  readonly untilMs: number;
  /** Time for which it was passed over; doubled when it is silent again. */
  readonly forMs: number;
}

/** How a question ended. */
type AskOutcome = 'answered' | 'refused' | 'silent';

/**
 * Lets a proxy get its news of the store from one other proxy of its zone. It
 * falls back to the store by itself as soon as no other proxy there answers.
 *
 * @public
 */
export class ZoneFollower {
  private readonly passedOver = new Map<string, PassedOver>();
  private reader: EntryVmRecord | null = null;
  private storeLostUntilMs = Number.NEGATIVE_INFINITY;
  private isAsking = false;
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

  /** Decides who reads for this process and goes on asking it. */
  maintain(): void {
    if (this.isAsking || this.isDisposed) {
      return;
    }
    const next = this.chooseReader();
    if (next === null) {
      this.follow(null, 'no other proxy of the zone is before it');
      return;
    }
    void this.run(next);
  }

  private chooseReader(): EntryVmRecord | null {
    const {options} = this;
    if (!options.canFollow()) {
      return null;
    }
    const nowMs = options.clock.nowMs();
    if (this.isReading && !options.isStoreAnswering()) {
      this.storeLostUntilMs = nowMs + STORE_LOST_MS;
    }
    const {entryVm, availabilityZone} = options.self;
    return chooseZoneReader({
      entryVm,
      availabilityZone,
      entryVms: options.getEntryVms(),
      isPassedOver: record =>
        record.entryVm === entryVm
          ? nowMs < this.storeLostUntilMs
          : this.isPassedOver(record),
    });
  }

  private isPassedOver({entryVm, incarnation}: EntryVmRecord): boolean {
    const passed = this.passedOver.get(entryVm);
    return (
      passed?.incarnation === incarnation &&
      this.options.clock.nowMs() < passed.untilMs
    );
  }

  /** Asks one proxy until it stops answering or another one is to be asked. */
  private async run(reader: EntryVmRecord): Promise<void> {
    this.isAsking = true;
    // The first answer is due at once, so a silent proxy is noticed soon.
    let waitMs = 0;
    for (;;) {
      const startedAtMs = this.options.clock.nowMs();
      const outcome = await this.ask(reader, waitMs);
      if (this.isDisposed) {
        return;
      }
      if (outcome !== 'answered') {
        this.passOver(reader, outcome);
        break;
      }
      this.follow(reader, 'it answers');
      waitMs = FOLLOW_WAIT_MS;
      const elapsedMs = this.options.clock.nowMs() - startedAtMs;
      if (elapsedMs < MIN_INTERVAL_MS) {
        await pause(this.options.clock, MIN_INTERVAL_MS - elapsedMs);
      }
      if (this.chooseReader()?.entryVm !== reader.entryVm) {
        break;
      }
    }
    this.isAsking = false;
    this.maintain();
  }

  private async ask(
    reader: EntryVmRecord,
    waitMs: number,
  ): Promise<AskOutcome> {
    const {self, peers, clockWatch} = this.options;
    const askedAt = clockWatch.read();
    const answer = await peers.followZone(reader, {
      entryVm: self.entryVm,
      incarnation: self.incarnation,
      ...this.options.getKnownRevisions(),
      isUrgent: this.options.isUrgent(),
      waitMs,
    });
    if (!answer.ok) {
      return 'silent';
    }
    if (answer.value === null) {
      return 'refused';
    }
    if (!this.isDisposed) {
      this.options.handleNews(answer.value, askedAt);
    }
    return 'answered';
  }

  private passOver(
    {entryVm, incarnation}: EntryVmRecord,
    outcome: AskOutcome,
  ): void {
    const nowMs = this.options.clock.nowMs();
    const known = this.passedOver.get(entryVm);
    const lastMs = known?.incarnation === incarnation ? known.forMs : 0;
    const forMs =
      outcome === 'refused'
        ? REFUSED_MS
        : Math.min(MAX_SILENT_MS, Math.max(MIN_SILENT_MS, lastMs * 2));
    this.passedOver.set(entryVm, {incarnation, untilMs: nowMs + forMs, forMs});
    if (this.reader?.entryVm === entryVm) {
      this.follow(null, `${entryVm} ${DESCRIPTIONS[outcome]}`);
    }
  }

  private follow(reader: EntryVmRecord | null, reason: string): void {
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

const DESCRIPTIONS: Readonly<Record<AskOutcome, string>> = {
  answered: 'answers',
  refused: 'does not read the store',
  silent: 'does not answer',
};
