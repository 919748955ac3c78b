import {setTimeout as sleep} from 'node:timers/promises';
import type {BenchDeployment} from './bench_deployment.js';
import type {CallerSession} from './caller_session.js';

const UPDATE_INTERVAL_MS = 100;
const ROW_ID = 1;

/**
 * Increments a row while a scenario runs and records when each value was
 * acknowledged, so that the staleness of a read can be checked.
 *
 * @public
 */
export class StalenessProbe {
  static readonly QUERY = `SELECT departs FROM timetable WHERE id = ${ROW_ID}`;

  private readonly acknowledgedAtMs: number[] = [];
  private isStopping = false;
  private updates: Promise<void> = Promise.resolve();

  private constructor(
    readonly databaseGroup: string,
    private readonly session: CallerSession,
  ) {}

  static async start(
    bench: BenchDeployment,
    databaseGroup: string,
  ): Promise<StalenessProbe> {
    const session = await bench.connect(0, databaseGroup, 'timetable-editor');
    const probe = new StalenessProbe(databaseGroup, session);
    await probe.update(0);
    probe.updates = probe.runUpdates();
    return probe;
  }

  /** Returns the value of a result row of `QUERY`, or -1 if it has none. */
  static parseValue(
    row: Readonly<Record<string, unknown>> | undefined,
  ): number {
    return Number(row?.['departs'] ?? -1);
  }

  /** Returns the latest value that was acknowledged by the given time. */
  getAcknowledgedValueAt(timeMs: number): number {
    let value = 0;
    for (const [index, acknowledgedAtMs] of this.acknowledgedAtMs.entries()) {
      if (acknowledgedAtMs <= timeMs) {
        value = index;
      }
    }
    return value;
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    await this.updates;
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
