import type {RequestPriority} from '@filbertrun/model/configuration.js';
import type {ConnectionIdentity} from './pool_types.js';
import type {QueuedEntry} from './request_queue.js';

/** Options of `DispatchSlots`. @internal */
export interface DispatchSlotsOptions {
  /** Concurrency limit. */
  readonly slots: number;
  /** Slots that replaceable requests leave free. */
  readonly reservedSlots: number;
  readonly getActiveLeases: () => number;
}

/**
 * Counts the slots during one pass over the queue: those of active leases, and
 * those that entries keep for themselves while they wait for a connection.
 *
 * @internal
 */
export class DispatchSlots {
  private claimed = 0;
  private awaiting = 0;
  private awaitingMoreUrgent = 0;
  private priority: RequestPriority | null = null;
  private readonly awaitingIdentities = new Set<ConnectionIdentity>();

  private constructor(private readonly options: DispatchSlotsOptions) {}

  static create(options: DispatchSlotsOptions): DispatchSlots {
    return new DispatchSlots(options);
  }

  /** Continues with the next entry. Returns false if no slot is left for it. */
  advance({priority}: QueuedEntry): boolean {
    if (priority !== this.priority) {
      this.priority = priority;
      this.awaitingMoreUrgent = this.awaiting;
    }
    return this.used < this.options.slots;
  }

  /** Whether an entry may use a slot and does not wait for an own connection. */
  mayUse({identity, isReplaceable}: QueuedEntry): boolean {
    if (this.awaitingIdentities.has(identity)) {
      this.awaiting++;
      return false;
    }
    const {slots, reservedSlots} = this.options;
    return this.used < slots - (isReplaceable ? reservedSlots : 0);
  }

  /** Keeps a slot for an entry whose connection is being opened. */
  claim(): void {
    this.claimed++;
  }

  /**
   * Leaves an entry and those of the same identity until a connection of the
   * identity is released. Other entries of the same priority may use the slot,
   * but less urgent ones would use it for longer than the wait.
   */
  awaitRelease({identity}: QueuedEntry): void {
    this.awaitingIdentities.add(identity);
    this.awaiting++;
  }

  private get used(): number {
    return (
      this.options.getActiveLeases() + this.claimed + this.awaitingMoreUrgent
    );
  }
}
