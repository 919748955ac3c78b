import {setTimeout as sleep} from 'node:timers/promises';
import type {BenchDeployment} from './bench_deployment.js';
import {NotConnectedError, readFailure} from './caller_outcome.js';
import type {CallerSession} from './caller_session.js';

/**
 * A caller that books: each booking has an idempotency key and is repeated,
 * if need be through another proxy, until it is acknowledged.
 */

/** Tables that the bookings go to. @public */
export const BOOKING_TABLES = [
  'CREATE TABLE IF NOT EXISTS bench_booking (id bigint PRIMARY KEY, writer int NOT NULL)',
  'CREATE TABLE IF NOT EXISTS bench_counter (id bigint PRIMARY KEY, runs int NOT NULL)',
] as const;

const BOOKINGS_PER_WRITER = 1_000_000;
const MAX_BOOKING_MS = 30_000;

/** How a writer treats a lost answer. @public */
export type RepeatPolicy =
  /** With its idempotency key. */
  | 'byKey'
  /** Without a key, as a driver's own retry would. */
  | 'blind';

/** What a writer is made of. @public */
export interface BookingWriterOptions {
  readonly bench: BenchDeployment;
  readonly databaseGroup: string;
  readonly writer: number;
  readonly firstProxyIndex: number;
  readonly repeatPolicy: RepeatPolicy;
}

/** What became of a writer's bookings. @public */
export interface BookingCounts {
  readonly acknowledged: number;
  readonly unknownOutcomes: number;
  readonly refusals: number;
  readonly lostBookings: number;
  readonly doubledBookings: number;
}

/** Books by turns a new row and one more run of its counter. @public */
export class BookingWriter {
  private session: CallerSession | null = null;
  private proxyIndex: number;
  private nextNumber = 0;
  private readonly acknowledgedRows: number[] = [];
  private acknowledgedRuns = 0;
  private unacknowledgedRuns = 0;
  private unknownOutcomes = 0;
  private refusals = 0;

  private constructor(private readonly options: BookingWriterOptions) {
    this.proxyIndex = options.firstProxyIndex;
  }

  static create(options: BookingWriterOptions): BookingWriter {
    return new BookingWriter(options);
  }

  /** Creates the writer's counter. */
  async prepare(): Promise<void> {
    const {writer} = this.options;
    await this.runUntilAcknowledged(
      `/*request_key='counter-${writer}'*/ INSERT INTO bench_counter (id, runs) VALUES (${writer}, 0)`,
    );
  }

  /** Makes one booking; gives the moment of its acknowledgement, or null. */
  async book(): Promise<number | null> {
    const number = this.nextNumber++;
    const isRow = number % 2 === 0;
    const isAcknowledged = await this.runUntilAcknowledged(
      this.createStatement(number, isRow),
    );
    if (!isAcknowledged) {
      this.unacknowledgedRuns += isRow ? 0 : 1;
      return null;
    }
    if (isRow) {
      this.acknowledgedRows.push(this.getRowId(number));
    } else {
      this.acknowledgedRuns++;
    }
    return performance.now();
  }

  /** Compares what was acknowledged with what the database group holds. */
  async check(): Promise<BookingCounts> {
    const {writer} = this.options;
    const rows = await this.read(
      `SELECT id FROM bench_booking WHERE writer = ${writer}`,
    );
    const held = new Set(rows.map(row => Number(row['id'])));
    const lostRows = this.acknowledgedRows.filter(id => !held.has(id)).length;
    const [counter] = await this.read(
      `SELECT runs FROM bench_counter WHERE id = ${writer}`,
    );
    const runs = Number(counter?.['runs'] ?? 0);
    const most = this.acknowledgedRuns + this.unacknowledgedRuns;
    return {
      acknowledged: this.acknowledgedRows.length + this.acknowledgedRuns,
      unknownOutcomes: this.unknownOutcomes,
      refusals: this.refusals,
      lostBookings: lostRows + Math.max(0, this.acknowledgedRuns - runs),
      doubledBookings: Math.max(0, runs - most),
    };
  }

  async end(): Promise<void> {
    await this.session?.end();
  }

  private getRowId(number: number): number {
    return this.options.writer * BOOKINGS_PER_WRITER + number;
  }

  private createStatement(number: number, isRow: boolean): string {
    const {writer, repeatPolicy} = this.options;
    const statement = isRow
      ? `INSERT INTO bench_booking (id, writer) VALUES (${this.getRowId(number)}, ${writer})`
      : `UPDATE bench_counter SET runs = runs + 1 WHERE id = ${writer}`;
    return repeatPolicy === 'byKey'
      ? `/*request_key='${writer}-${number}'*/ ${statement}`
      : statement;
  }

  private async read(
    text: string,
  ): Promise<readonly Readonly<Record<string, unknown>>[]> {
    const deadlineMs = performance.now() + MAX_BOOKING_MS;
    for (;;) {
      try {
        const session = await this.getSession();
        return (await session.query(text)).rows;
      } catch (error) {
        if (performance.now() > deadlineMs) {
          throw error;
        }
        await this.handleFailure(error);
      }
    }
  }

  private async runUntilAcknowledged(text: string): Promise<boolean> {
    const deadlineMs = performance.now() + MAX_BOOKING_MS;
    while (performance.now() < deadlineMs) {
      try {
        const session = await this.getSession();
        await session.query(text);
        return true;
      } catch (error) {
        if (readFailure(error).sqlState === '23505') {
          // A blind repeat of an insert that had been run.
          return true;
        }
        await this.handleFailure(error);
      }
    }
    return false;
  }

  private async handleFailure(error: unknown): Promise<void> {
    const {outcome, retryAfterMs} = readFailure(error);
    if (outcome === 'unknown') {
      this.unknownOutcomes++;
    } else {
      this.refusals++;
    }
    if (this.session === null || this.session.hasEnded) {
      const {proxies} = this.options.bench.description;
      this.session = null;
      this.proxyIndex = (this.proxyIndex + 1) % proxies.length;
    }
    await sleep(retryAfterMs);
  }

  private async getSession(): Promise<CallerSession> {
    if (this.session !== null && !this.session.hasEnded) {
      return this.session;
    }
    const {bench, databaseGroup} = this.options;
    this.session = null;
    try {
      this.session = await bench.connect(this.proxyIndex, databaseGroup);
    } catch (error) {
      throw new NotConnectedError(error);
    }
    return this.session;
  }
}

/** Sums counts of several writers. @public */
export function sumCounts(counts: readonly BookingCounts[]): BookingCounts {
  let acknowledged = 0;
  let unknownOutcomes = 0;
  let refusals = 0;
  let lostBookings = 0;
  let doubledBookings = 0;
  for (const each of counts) {
    acknowledged += each.acknowledged;
    unknownOutcomes += each.unknownOutcomes;
    refusals += each.refusals;
    lostBookings += each.lostBookings;
    doubledBookings += each.doubledBookings;
  }
  return {
    acknowledged,
    unknownOutcomes,
    refusals,
    lostBookings,
    doubledBookings,
  };
}
