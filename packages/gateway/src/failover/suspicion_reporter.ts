import type {Clock} from '@filbertrun/base/clock.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import type {
  PeerCaller,
  PrimaryEvidence,
  SuspicionReport,
} from '../peer/peer_caller.js';

/** What a reporter needs of the process. @public */
export interface SuspicionReporterOptions {
  readonly clock: Clock;
  readonly entryVm: string;
  readonly peers: PeerCaller;
  /** Entry VM that holds the failover duty as far as is known, or null. */
  getDutyHolder(): string | null;
  getEntryVm(entryVm: string): EntryVmRecord | null;
  /** Takes the reports while this proxy holds the duty, or nobody does. */
  takeReport(report: SuspicionReport): void;
}

/** Least time between two reports about one group. */
const REPORT_INTERVAL_MS = 300;

/** Tells the holder of the failover duty of primaries that do not serve. @public */
export class SuspicionReporter {
  private readonly lastReportMs = new Map<string, number>();

  private constructor(private readonly options: SuspicionReporterOptions) {}

  static create(options: SuspicionReporterOptions): SuspicionReporter {
    return new SuspicionReporter(options);
  }

  /** Looks at the primaries and reports those that speak against themselves. */
  look(groups: readonly GroupRuntime[]): void {
    for (const group of groups) {
      const known = group.lease.getLastKnownPrimary();
      const server = known === null ? null : group.getServer(known.primary);
      if (known === null || server === null) {
        continue;
      }
      if (server.isUnreachable) {
        this.report(group, known.primary, 'unreachable');
      } else if (group.writes.isStalled) {
        this.report(group, known.primary, 'writesStalled');
      }
    }
  }

  private report(
    {databaseGroup}: GroupRuntime,
    primary: string,
    evidence: PrimaryEvidence,
  ): void {
    const {clock, entryVm, peers} = this.options;
    const nowMs = clock.nowMs();
    const lastMs =
      this.lastReportMs.get(databaseGroup) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - lastMs < REPORT_INTERVAL_MS) {
      return;
    }
    this.lastReportMs.set(databaseGroup, nowMs);
    const report = {databaseGroup, primary, evidence, reporter: entryVm};
    const holder = this.options.getDutyHolder();
    if (holder === null || holder === entryVm) {
      this.options.takeReport(report);
      return;
    }
    const peer = this.options.getEntryVm(holder);
    if (peer !== null) {
      void peers.reportSuspicion(peer, report);
    }
  }
}
