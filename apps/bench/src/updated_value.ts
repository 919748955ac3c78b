import {setTimeout as sleep} from 'node:timers/promises';
import type {BenchDeployment} from './bench_deployment.js';
import type {CallerSession} from './caller_session.js';

const UPDATE_INTERVAL_MS = 100;
const ROW_ID = 1;

/**
 * A row that counts up while a scenario runs, with the moments at which each
 * value was acknowledged: from them the age of a read can be judged.
 *
 * @public
 */
export class UpdatedValue {
  static readonly QUERY = `SELECT departs FROM timetable WHERE id = ${ROW_ID}`;

  private readonly acknowledgedAtMs: number[] = [];
  private isStopping = false;
  private run: Promise<void> = Promise.resolve();

  private constructor(
    readonly databaseGroup: string,
    private readonly session: CallerSession,
  ) {}

  static async start(
    bench: BenchDeployment,
    databaseGroup: string,
  ): Promise<UpdatedValue> {
    const session = await bench.connect(0, databaseGroup, 'timetable-editor');
    const value = new UpdatedValue(databaseGroup, session);
    await value.update(0);
    value.run = value.runUpdates();
    return value;
  }

  /** The value in an answer to `QUERY`; -1 when it holds none. */
  static read(row: Readonly<Record<string, unknown>> | undefined): number {
    return Number(row?.['departs'] ?? -1);
  }

  /** The latest value that was acknowledged before a moment. */
  getValueAt(momentMs: number): number {
    let value = 0;
    for (const [index, acknowledgedAtMs] of this.acknowledgedAtMs.entries()) {
      if (acknowledgedAtMs <= momentMs) {
        value = index;
      }
    }
    return value;
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    await this.run;
    await this.session.end();
  }

  private async runUpdates(): Promise<void> {
    for (let value = 1; !this.isStopping; value++) {
      await sleep(UPDATE_INTERVAL_MS);
      await this.update(value);
    }
  }

  private async update(value: number): Promise<void> {
    await this.session.query(
      `UPDATE timetable SET departs = '${value}' WHERE id = ${ROW_ID}`,
    );
    this.acknowledgedAtMs.push(performance.now());
  }
}
