import {setTimeout as sleep} from 'node:timers/promises';
import type {BenchDeployment} from './bench_deployment.js';
import type {CallerSession} from './caller_session.js';
import {classifyFailure, NotConnectedError} from './statement_failure.js';

/**
 * A caller that writes bookings. A booking carries an idempotency key (unless
 * the policy is `blind`) and is retried until it is acknowledged, through
 * another proxy if the connection is lost.
 */

/** Statements that create the tables of the bookings. @public */
export const CREATE_TABLE_STATEMENTS = [
  'CREATE TABLE IF NOT EXISTS bench_booking (id bigint PRIMARY KEY, writer int NOT NULL)',
  'CREATE TABLE IF NOT EXISTS bench_counter (id bigint PRIMARY KEY, runs int NOT NULL)',
] as const;

const BOOKINGS_PER_WRITER = 1_000_000;
const MAX_BOOKING_MS = 30_000;

/** How a writer retries a booking after a failure. @public */
export type RetryPolicy =
  /** With the idempotency key of the booking. */
  | 'byKey'
  /** Without a key, like the automatic retry of a driver. */
  | 'blind';

/** Options of `BookingWriter`. @public */
export interface BookingWriterOptions {
  readonly bench: BenchDeployment;
  readonly databaseGroup: string;
  /** Id of the writer; unique within the database group. */
  readonly writer: number;
  readonly firstProxyIndex: number;
  readonly retryPolicy: RetryPolicy;
}

/** Outcomes of the bookings of a writer. @public */
export interface BookingCounts {
  readonly acknowledged: number;
  readonly unknownOutcomes: number;
  readonly refusals: number;
  /** Acknowledged bookings that the database group does not hold. */
  readonly lostBookings: number;
  /** Counter increments that were executed more than once. */
  readonly doubledBookings: number;
}

/** Alternates between inserting a row and incrementing a counter. @public */
export class BookingWriter {
  private session: CallerSession | null = null;
  private proxyIndex: number;
  private nextNumber = 0;
  private readonly acknowledgedRows: number[] = [];
  private acknowledgedIncrements = 0;
  private unacknowledgedIncrements = 0;
  private unknownOutcomes = 0;
  private refusals = 0;

  private constructor(private readonly options: BookingWriterOptions) {
    this.proxyIndex = options.firstProxyIndex;
  }

  static create(options: BookingWriterOptions): BookingWriter {
    return new BookingWriter(options);
  }

  /** Inserts the counter row of the writer. */
  async createCounter(): Promise<void> {
    const {writer} = this.options;
    await this.runUntilAcknowledged(
      `/*request_key='counter-${writer}'*/ INSERT INTO bench_counter (id, runs) VALUES (${writer}, 0)`,
    );
  }

  /**
   * Makes one booking. Returns the time of its acknowledgement, or null if it
   * was not acknowledged within the timeout.
   */
  async book(): Promise<number | null> {
    const number = this.nextNumber++;
    const isRow = number % 2 === 0;
    const isAcknowledged = await this.runUntilAcknowledged(
      this.createStatement(number, isRow),
    );
    if (!isAcknowledged) {
      this.unacknowledgedIncrements += isRow ? 0 : 1;
      return null;
    }
    if (isRow) {
      this.acknowledgedRows.push(this.getRowId(number));
    } else {
      this.acknowledgedIncrements++;
    }
    return performance.now();
  }

  /** Compares the acknowledged bookings with the stored ones. */
  async check(): Promise<BookingCounts> {
    const {writer} = this.options;
    const rows = await this.read(
      `SELECT id FROM bench_booking WHERE writer = ${writer}`,
    );
    const storedIds = new Set(rows.map(row => Number(row['id'])));
    const lostRows = this.acknowledgedRows.filter(
      id => !storedIds.has(id),
    ).length;
    const [counter] = await this.read(
      `SELECT runs FROM bench_counter WHERE id = ${writer}`,
    );
    const runs = Number(counter?.['runs'] ?? 0);
    const maxRuns = this.acknowledgedIncrements + this.unacknowledgedIncrements;
    return {
      acknowledged: this.acknowledgedRows.length + this.acknowledgedIncrements,
      unknownOutcomes: this.unknownOutcomes,
      refusals: this.refusals,
      lostBookings: lostRows + Math.max(0, this.acknowledgedIncrements - runs),
      doubledBookings: Math.max(0, runs - maxRuns),
    };
  }

  async end(): Promise<void> {
    await this.session?.end();
  }

  private getRowId(number: number): number {
    return this.options.writer * BOOKINGS_PER_WRITER + number;
  }

  private createStatement(number: number, isRow: boolean): string {
    const {writer, retryPolicy} = this.options;
    const statement = isRow
      ? `INSERT INTO bench_booking (id, writer) VALUES (${this.getRowId(number)}, ${writer})`
      : `UPDATE bench_counter SET runs = runs + 1 WHERE id = ${writer}`;
    return retryPolicy === 'byKey'
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
        if (classifyFailure(error).sqlState === '23505') {
          // A blind retry of an insert that has already been executed.
          return true;
        }
        await this.handleFailure(error);
      }
    }
    return false;
  }

  private async handleFailure(error: unknown): Promise<void> {
    const {outcome, retryAfterMs} = classifyFailure(error);
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

/** Sums the counts of several writers. @public */
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
