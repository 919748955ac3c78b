import {setTimeout as sleep} from 'node:timers/promises';
import type {BenchDeployment} from './bench_deployment.js';
import {
  CREATE_TABLE_STATEMENTS,
  BookingWriter,
  sumCounts,
  type BookingCounts,
  type RetryPolicy,
} from './booking_writer.js';

/** Several writers that book at fixed intervals in one database group. */

/** Options of `BookingLoad`. @public */
export interface BookingLoadOptions {
  readonly bench: BenchDeployment;
  readonly databaseGroup: string;
  /** Id of the first writer; loads must use disjoint ranges of ids. */
  readonly firstWriter: number;
  readonly writerCount: number;
  readonly intervalMs: number;
  readonly retryPolicy: RetryPolicy;
}

/**
 * Runs bookings in the background and records when they were acknowledged.
 *
 * @public
 */
export class BookingLoad {
  private readonly acknowledgedAtMs: number[] = [];
  private readonly writers: BookingWriter[] = [];
  private readonly runs: Promise<void>[] = [];
  private isStopping = false;

  private constructor(private readonly options: BookingLoadOptions) {}

  static async start(options: BookingLoadOptions): Promise<BookingLoad> {
    const load = new BookingLoad(options);
    await createTables(options.bench, options.databaseGroup);
    for (let index = 0; index < options.writerCount; index++) {
      const writer = BookingWriter.create({
        ...options,
        writer: options.firstWriter + index,
        firstProxyIndex: index % options.bench.description.proxies.length,
      });
      await writer.createCounter();
      load.writers.push(writer);
    }
    for (const [index, writer] of load.writers.entries()) {
      const offsetMs = (options.intervalMs * index) / options.writerCount;
      load.runs.push(load.run(writer, offsetMs));
    }
    return load;
  }

  /** Returns the longest time without an acknowledgement in the interval. */
  getLongestGapMs(fromMs: number, toMs: number): number {
    let longestMs = 0;
    let previousMs = fromMs;
    for (const acknowledgedMs of this.acknowledgedAtMs) {
      if (acknowledgedMs >= fromMs && acknowledgedMs <= toMs) {
        longestMs = Math.max(longestMs, acknowledgedMs - previousMs);
        previousMs = acknowledgedMs;
      }
    }
    return Math.max(longestMs, toMs - previousMs);
  }

  countAcknowledgedSince(fromMs: number): number {
    let count = 0;
    for (const acknowledgedMs of this.acknowledgedAtMs) {
      count += acknowledgedMs >= fromMs ? 1 : 0;
    }
    return count;
  }

  /** Stops the load and checks every booking. */
  async stop(): Promise<BookingCounts> {
    this.isStopping = true;
    await Promise.all(this.runs);
    const counts: BookingCounts[] = [];
    for (const writer of this.writers) {
      counts.push(await writer.check());
      await writer.end();
    }
    return sumCounts(counts);
  }

  private async run(writer: BookingWriter, offsetMs: number): Promise<void> {
    let dueMs = performance.now() + offsetMs;
    while (!this.isStopping) {
      const waitMs = dueMs - performance.now();
      if (waitMs > 0) {
        await sleep(waitMs);
      }
      dueMs = Math.max(dueMs, performance.now() - this.options.intervalMs);
      dueMs += this.options.intervalMs;
      const acknowledgedAtMs = await writer.book();
      if (acknowledgedAtMs !== null) {
        this.acknowledgedAtMs.push(acknowledgedAtMs);
      }
    }
  }
}

async function createTables(
  bench: BenchDeployment,
  databaseGroup: string,
): Promise<void> {
  const session = await bench.connect(0, databaseGroup);
  for (const statement of CREATE_TABLE_STATEMENTS) {
    await session.query(statement);
  }
  await session.end();
}
