import type {
  ConnectionCondition,
  ConnectionIdentity,
  LeaseOutcome,
  PoolLease,
} from './pool_types.js';

/** Result of a released lease. @internal */
export interface LeaseEnd<C> {
  readonly connection: C;
  readonly identity: ConnectionIdentity;
  readonly condition: ConnectionCondition;
  readonly outcome: LeaseOutcome;
  readonly workKind: string;
  readonly activeAtStart: number;
  readonly startMs: number;
  /** Duration, or null if it includes more than the server's own work. */
  readonly serviceTimeMs: number | null;
}

/** Callbacks of a lease into its pool. @internal */
export interface LeaseEvents<C> {
  readonly getNowMs: () => number;
  readonly handleSuspended: () => void;
  readonly handleResumed: () => void;
  readonly handleReleased: (end: LeaseEnd<C>, wasActive: boolean) => void;
}

/** Lease that reports each state change to its pool once. @internal */
export class LeasedConnection<C> implements PoolLease<C> {
  private state: 'active' | 'suspended' | 'released' = 'active';
  private wasSuspended = false;
  private readonly startMs: number;

  private constructor(
    readonly connection: C,
    readonly identity: ConnectionIdentity,
    private readonly workKind: string,
    private readonly activeAtStart: number,
    private readonly events: LeaseEvents<C>,
  ) {
    this.startMs = events.getNowMs();
  }

  static create<C>(
    connection: C,
    identity: ConnectionIdentity,
    workKind: string,
    activeAtStart: number,
    events: LeaseEvents<C>,
  ): LeasedConnection<C> {
    return new LeasedConnection(
      connection,
      identity,
      workKind,
      activeAtStart,
      events,
    );
  }

  suspend(): void {
    if (this.state !== 'active') {
      return;
    }
    this.state = 'suspended';
    this.wasSuspended = true;
    this.events.handleSuspended();
  }

  resume(): void {
    if (this.state !== 'suspended') {
      return;
    }
    this.state = 'active';
    this.events.handleResumed();
  }

  release(
    condition: ConnectionCondition,
    outcome: LeaseOutcome = condition === 'clean' ? 'served' : 'unused',
  ): void {
    if (this.state === 'released') {
      return;
    }
    const wasActive = this.state === 'active';
    this.state = 'released';
    const durationMs = this.events.getNowMs() - this.startMs;
    const end: LeaseEnd<C> = {
      connection: this.connection,
      identity: this.identity,
      condition,
      outcome,
      workKind: this.workKind,
      activeAtStart: this.activeAtStart,
      startMs: this.startMs,
      serviceTimeMs:
        this.wasSuspended || condition === 'unacknowledged' ? null : durationMs,
    };
    this.events.handleReleased(end, wasActive);
  }
}
