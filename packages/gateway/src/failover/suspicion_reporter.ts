import type {Clock} from '@filbertrun/base/clock.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import {runInBackground} from '../observability/background_task.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {
  PeerClient,
  PrimaryFailureEvidence,
  SuspicionReport,
} from '../peer/peer_client.js';

/** Dependencies of the reporter. @public */
export interface SuspicionReporterOptions {
  readonly clock: Clock;
  readonly entryVm: string;
  readonly events: GatewayEventRecorder;
  readonly peers: PeerClient;
  /** Entry VM of the failover leader as far as it is known, or null. */
  getFailoverLeader(): string | null;
  getEntryVm(entryVm: string): EntryVmRecord | null;
  /** Handles reports locally if this proxy is the leader or none is known. */
  handleReport(report: SuspicionReport): void;
}

/** Minimum interval between two reports about one group. */
const REPORT_INTERVAL_MS = 300;

/** Reports failing primaries to the failover leader. @public */
export class SuspicionReporter {
  private readonly lastReportMs = new Map<string, number>();

  private constructor(private readonly options: SuspicionReporterOptions) {}

  static create(options: SuspicionReporterOptions): SuspicionReporter {
    return new SuspicionReporter(options);
  }

  /** Reports primaries that are unreachable or whose writes have stalled. */
  check(groups: readonly GroupRuntime[]): void {
    for (const group of groups) {
      const known = group.lease.getLastKnownPrimary();
      const server = known === null ? null : group.getServer(known.primary);
      if (known === null || server === null) {
        continue;
      }
      if (server.isUnreachable) {
        this.report(group, known.primary, 'unreachable');
      } else if (group.writeStallDetector.isStalled) {
        this.report(group, known.primary, 'writesStalled');
      }
    }
  }

  private report(
    {databaseGroup}: GroupRuntime,
    primary: string,
    evidence: PrimaryFailureEvidence,
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
    const leader = this.options.getFailoverLeader();
    if (leader === null || leader === entryVm) {
      this.options.handleReport(report);
      return;
    }
    const peer = this.options.getEntryVm(leader);
    if (peer !== null) {
      runInBackground(
        this.options.events,
        'suspicion report',
        peers.reportSuspicion(peer, report),
      );
    }
  }
}
