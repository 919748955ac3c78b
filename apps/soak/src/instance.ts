import type {InstanceGroup} from './instance_group.js';

/** State of one instance of a group and how it follows a primary. */

/** A commit; equal commits of two logs are the same object. @internal */
export interface Commit {
  readonly term: number;
  /** Id of the statement that was committed. */
  readonly statementId: string;
  readonly item: string;
  readonly value: number;
}

interface PendingCommit {
  readonly count: number;
  finish(isConfirmed: boolean): void;
}

/** Identity and place of an instance. @internal */
export interface InstanceIdentity {
  readonly id: string;
  readonly zone: string;
  readonly port: number;
}

/** Time from the receipt of a commit to its application at a replica. */
const APPLY_MS = 40;

/** One instance; its log outlives the process. @internal */
export class Instance {
  readonly log: Commit[];
  readonly startedAtEpochMs = Date.now();
  role: 'primary' | 'replica' = 'replica';
  term = 1;
  /** Term for which replication is paused; 0 if it is not. */
  pausedTerm = 0;
  isAlive = true;
  isDraining = false;
  /** Whether its entry may be written to the store. */
  isListed = false;
  /** Until then it receives nothing, though it answers. */
  deafUntilMs = 0;
  /** The primary that it receives from. */
  upstream: Instance | null = null;
  sequence = 0;
  private appliedCount: number;
  private confirmedCount = 0;
  private pending: PendingCommit[] = [];

  private constructor(
    readonly group: InstanceGroup,
    readonly identity: InstanceIdentity,
    log: readonly Commit[],
  ) {
    this.log = [...log];
    this.appliedCount = log.length;
  }

  static create(
    group: InstanceGroup,
    identity: InstanceIdentity,
    log: readonly Commit[],
  ): Instance {
    return new Instance(group, identity, log);
  }

  get id(): string {
    return this.identity.id;
  }

  /** Name and zone on links. */
  get name(): string {
    return this.identity.id;
  }

  get zone(): string {
    return this.identity.zone;
  }

  /** Number of commits that reads see. */
  get visibleCount(): number {
    return this.role === 'primary' ? this.log.length : this.appliedCount;
  }

  /** Number of commits that a response names: without those in doubt. */
  get statedCount(): number {
    return this.role === 'primary' ? this.confirmedCount : this.appliedCount;
  }

  /** Term of the log's entry at a count. */
  getLogTerm(count: number): number {
    return this.log[count - 1]?.term ?? 1;
  }

  /** Whether reads see a position. */
  covers(term: number, count: number): boolean {
    const seen = this.visibleCount;
    return this.getLogTerm(seen) > term || (seen >= count && this.term >= term);
  }

  read(item: string): number | null {
    for (let index = this.visibleCount - 1; index >= 0; index--) {
      const commit = this.log[index];
      if (commit?.item === item) {
        return commit.value;
      }
    }
    return null;
  }

  /** Commits at the primary; `finish` is called once a replica has received it. */
  commit(
    write: Omit<Commit, 'term'>,
    finish: (isConfirmed: boolean) => void,
  ): void {
    this.log.push({...write, term: this.term});
    const record = this.group.recordCommit(this, write.statementId);
    this.pending.push({
      count: this.log.length,
      finish: isConfirmed => {
        record.confirmedAtMs = isConfirmed ? this.group.nowMs() : null;
        finish(isConfirmed);
      },
    });
    this.group.replicate(this);
  }

  /** Whether the newest commits of its primary reach it now. */
  get isReceiving(): boolean {
    const {upstream, group} = this;
    return (
      upstream !== null &&
      this.isAlive &&
      this.role === 'replica' &&
      this.pausedTerm === 0 &&
      group.nowMs() >= this.deafUntilMs &&
      upstream.isAlive &&
      upstream.role === 'primary' &&
      !group.isCut(this, upstream)
    );
  }

  /** Takes over the log of its primary; commits of its own are rolled back. */
  receive(): void {
    const {upstream, log} = this;
    if (upstream === null || !this.isReceiving) {
      return;
    }
    const source = upstream.log;
    while (
      log.length > source.length ||
      (log.length > 0 && log.at(-1) !== source[log.length - 1])
    ) {
      log.pop();
    }
    this.appliedCount = Math.min(this.appliedCount, log.length);
    log.push(...source.slice(log.length));
    this.term = upstream.term;
    const count = log.length;
    setTimeout(() => this.apply(count), APPLY_MS);
    upstream.handleReceipt(count);
  }

  /** Confirms the commits up to a count that a replica has received. */
  private handleReceipt(count: number): void {
    const {term} = this;
    this.group.afterNetwork(() => {
      if (!this.isAlive || this.role !== 'primary' || this.term !== term) {
        return;
      }
      this.confirmedCount = Math.max(this.confirmedCount, count);
      const confirmed = this.pending.filter(commit => commit.count <= count);
      this.pending = this.pending.filter(commit => commit.count > count);
      for (const commit of confirmed) {
        commit.finish(true);
      }
    });
  }

  private apply(count: number): void {
    if (this.role === 'replica') {
      const known = Math.min(count, this.log.length);
      this.appliedCount = Math.max(this.appliedCount, known);
    }
  }

  becomePrimary(term: number): void {
    this.role = 'primary';
    this.term = term;
    this.pausedTerm = 0;
    this.upstream = null;
    this.confirmedCount = this.log.length;
    this.group.register(this);
  }

  /** Follows a primary, if there is one already. */
  becomeReplica(upstream: Instance | null): void {
    this.role = 'replica';
    this.upstream = upstream;
    this.appliedCount = this.log.length;
    this.failPending();
    this.group.register(this);
  }

  failPending(): void {
    const {pending} = this;
    this.pending = [];
    for (const {finish} of pending) {
      finish(false);
    }
  }
}
