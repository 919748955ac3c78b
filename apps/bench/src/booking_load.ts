import {setTimeout as sleep} from 'node:timers/promises';
import type {BenchDeployment} from './bench_deployment.js';
import {
  BOOKING_TABLES,
  BookingWriter,
  sumCounts,
  type BookingCounts,
  type RepeatPolicy,
} from './booking_writer.js';

/** Several writers that book at fixed intervals on one database group. */

/** What a load is made of. @public */
export interface BookingLoadOptions {
  readonly bench: BenchDeployment;
  readonly databaseGroup: string;
  /** Keeps the writers of several loads apart. */
  readonly firstWriter: number;
  readonly writerCount: number;
  readonly intervalMs: number;
  readonly repeatPolicy: RepeatPolicy;
}

/** Runs bookings in the background and remembers when they were acknowledged. @public */
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
      await writer.prepare();
      load.writers.push(writer);
    }
    for (const [index, writer] of load.writers.entries()) {
      const offsetMs = (options.intervalMs * index) / options.writerCount;
      load.runs.push(load.run(writer, offsetMs));
    }
    return load;
  }

  /** Longest time between two acknowledgements from `fromMs` to `toMs`. */
  getLongestGapMs(fromMs: number, toMs: number): number {
    let longestMs = 0;
    let previousMs = fromMs;
    for (const momentMs of this.acknowledgedAtMs) {
      if (momentMs >= fromMs && momentMs <= toMs) {
        longestMs = Math.max(longestMs, momentMs - previousMs);
        previousMs = momentMs;
      }
    }
    return Math.max(longestMs, toMs - previousMs);
  }

  getAcknowledgedSince(fromMs: number): number {
    let count = 0;
    for (const momentMs of this.acknowledgedAtMs) {
      count += momentMs >= fromMs ? 1 : 0;
    }
    return count;
  }

  /** Ends the load and checks every booking. */
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
  for (const statement of BOOKING_TABLES) {
    await session.query(statement);
  }
  await session.end();
}
