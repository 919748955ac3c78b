import type {Instance} from './instance.js';
import type {CommitRecord, InstanceGroup} from './instance_group.js';
import type {PromoteCall} from './promotion_standin.js';
import type {Trace} from './trace.js';

/** What callers and instances saw, and the rules that follow from it. */

/** The rule that a violation breaks. @internal */
export type Rule = 'LOST' | 'ONE' | 'STALE' | 'REFUSED' | 'TWICE';

/** A write that was acknowledged to a caller. @internal */
export interface AcknowledgedWrite {
  readonly statementId: string;
  readonly databaseGroup: string;
  readonly item: string;
  readonly value: number;
  readonly entryVm: string;
  readonly atMs: number;
  /** Whether the proxy was frozen or cut off shortly before. */
  readonly isHeldUp: boolean;
}

/** A violation of a rule. @internal */
export interface Violation {
  readonly rule: Rule;
  readonly text: string;
}

interface Suspect {
  readonly commit: AcknowledgedWrite;
  readonly text: string;
}

/** Lines that are written in full for each kind of violation at a time. */
const MAX_EXAMPLES = 5;

/** Collects what was seen and finds violations. @internal */
export class Ledger {
  readonly violations: Violation[] = [];
  readonly promotions: PromoteCall[] = [];
  private readonly acknowledged = new Map<string, AcknowledgedWrite>();
  private readonly newest = new Map<string, AcknowledgedWrite>();
  private readonly refused = new Map<string, string>();
  private readonly suspects: Suspect[] = [];
  private readonly reportedIds = new Set<string>();
  private lastAtMs = 0;

  private constructor(private readonly trace: Trace) {}

  static create(trace: Trace): Ledger {
    return new Ledger(trace);
  }

  get acknowledgedCount(): number {
    return this.acknowledged.size;
  }

  /** Time of the newest acknowledgement. */
  get lastAcknowledgedAtMs(): number {
    return this.lastAtMs;
  }

  /** The newest acknowledged write of each item of a group. */
  listNewest(databaseGroup: string): readonly AcknowledgedWrite[] {
    return [...this.newest.values()].filter(
      write => write.databaseGroup === databaseGroup,
    );
  }

  recordAcknowledged(write: AcknowledgedWrite): void {
    this.acknowledged.set(write.statementId, write);
    this.newest.set(write.item, write);
    this.lastAtMs = write.atMs;
    this.trace.emit('commitAcknowledged');
  }

  /** Forgets an item that is no longer written. */
  retire(item: string): void {
    this.newest.delete(item);
  }

  /** Records a write of which the caller was told that nothing is kept. */
  recordRefused(statementId: string, code: string): void {
    this.refused.set(statementId, code);
  }

  /** Records a read that did not see an acknowledged write. */
  recordSuspect(commit: AcknowledgedWrite, text: string): void {
    this.suspects.push({commit, text});
  }

  /** Checks the fencing token of a call that the API accepts. */
  recordPromotion(call: PromoteCall): void {
    for (const {fencingToken, holder} of this.promotions) {
      if (fencingToken > call.fencingToken) {
        this.report(
          'ONE',
          `token ${call.fencingToken} of ${call.holder} after ${fencingToken} of ${holder}`,
        );
        break;
      }
      if (fencingToken === call.fencingToken && holder !== call.holder) {
        this.report('ONE', `token ${fencingToken}: ${holder}, ${call.holder}`);
        break;
      }
    }
    this.promotions.push(call);
  }

  /** Checks the log of an instance whose promotion takes effect now. */
  checkPromotion(target: Instance): void {
    const kept = new Set(target.log.map(({statementId}) => statementId));
    this.reportMissing(target.group, target.id, kept);
  }

  /** Checks a group at the end, when nothing is disturbed any more. */
  checkGroup(group: InstanceGroup): void {
    const counts = new Map<string, number>();
    for (const {statementId} of group.newestLog) {
      counts.set(statementId, (counts.get(statementId) ?? 0) + 1);
    }
    this.reportMissing(group, 'the last primary', counts);
    for (const [statementId, count] of counts) {
      const code = this.refused.get(statementId);
      if (code !== undefined) {
        this.report('REFUSED', `${statementId} was told ${code} and is kept`);
      }
      if (count > 1) {
        this.report('TWICE', `${statementId} is kept ${count} times`);
      }
    }
    for (const {commit, text} of this.suspects) {
      if (counts.has(commit.statementId)) {
        this.report('STALE', text);
      }
    }
  }

  /** Reports acknowledged writes that a log lacks, each of them once. */
  private reportMissing(
    group: InstanceGroup,
    holder: string,
    kept: {has(statementId: string): boolean},
  ): void {
    const counts = new Map<Rule, number>();
    for (const write of this.listMissing(group.name, kept)) {
      this.reportedIds.add(write.statementId);
      const commit = group.findCommit(write.statementId);
      const isLate = commit !== null && isAfterPromotion(group, commit);
      if (isLate && write.isHeldUp) {
        continue;
      }
      const rule = isLate ? 'ONE' : 'LOST';
      const count = (counts.get(rule) ?? 0) + 1;
      counts.set(rule, count);
      if (count <= MAX_EXAMPLES) {
        this.report(rule, `${holder} lacks ${explain(group, write)}`);
      }
    }
    for (const [rule, count] of counts) {
      this.trace.note(`${rule}: ${count} writes that ${holder} lacks`);
    }
  }

  private listMissing(
    databaseGroup: string,
    kept: {has(statementId: string): boolean},
  ): readonly AcknowledgedWrite[] {
    const missing: AcknowledgedWrite[] = [];
    for (const write of this.acknowledged.values()) {
      const {statementId} = write;
      if (
        write.databaseGroup === databaseGroup &&
        !kept.has(statementId) &&
        !this.reportedIds.has(statementId)
      ) {
        missing.push(write);
      }
    }
    return missing;
  }

  private report(rule: Rule, text: string): void {
    this.violations.push({rule, text});
    this.trace.note(`VIOLATION ${rule}: ${text}`);
  }
}

/** Whether a commit was confirmed after a later term had begun. */
function isAfterPromotion(group: InstanceGroup, commit: CommitRecord): boolean {
  const {term, confirmedAtMs} = commit;
  const nextAtMs = group.effectiveAtMs.get(term + 1);
  return (
    nextAtMs !== undefined && confirmedAtMs !== null && confirmedAtMs > nextAtMs
  );
}

/** Says where and when a write was committed and acknowledged. */
function explain(group: InstanceGroup, write: AcknowledgedWrite): string {
  const commit = group.findCommit(write.statementId);
  const holders = group.instances
    .filter(({log}) =>
      log.some(({statementId}) => statementId === write.statementId),
    )
    .map(({id}) => id);
  return [
    `${write.statementId}, run at ${commit?.instance.id} in term ${commit?.term}`,
    `confirmed at ${formatSeconds(commit?.confirmedAtMs ?? null)}`,
    `acknowledged at ${formatSeconds(write.atMs)} by ${write.entryVm}`,
    `held by ${holders.join(', ') || 'none'}`,
  ].join(', ');
}

function formatSeconds(timeMs: number | null): string {
  return timeMs === null ? '-' : (timeMs / 1_000).toFixed(3);
}
