import type {RequestPriority} from '@filbertrun/model/configuration.js';
import type {QueuedEntry, QueueLengths, RequestQueue} from './request_queue.js';

/**
 * Priorities in the order of service. Reads outside a transaction get theirs from
 * the read rules (`normal` without a rule); all other statements have `booking`.
 *
 * @internal
 */
export const PRIORITY_ORDER = [
  'booking',
  'normal',
  'lookup',
] as const satisfies readonly RequestPriority[];

/**
 * Priority queue with FIFO order within a priority. The pool limits its length.
 *
 * @internal
 */
export class WaitQueue<E extends QueuedEntry> implements RequestQueue<E> {
  private readonly entries: Readonly<Record<RequestPriority, Set<E>>> = {
    booking: new Set(),
    normal: new Set(),
    lookup: new Set(),
  };

  private constructor() {}

  static create<E extends QueuedEntry>(): WaitQueue<E> {
    return new WaitQueue<E>();
  }

  get length(): number {
    const {booking, normal, lookup} = this.entries;
    return booking.size + normal.size + lookup.size;
  }

  get lengths(): QueueLengths {
    const {booking, normal, lookup} = this.entries;
    return {booking: booking.size, normal: normal.size, lookup: lookup.size};
  }

  add(entry: E): void {
    this.entries[entry.priority].add(entry);
  }

  remove(entry: E): void {
    this.entries[entry.priority].delete(entry);
  }

  serve(entry: E): void {
    this.remove(entry);
  }

  /** Does nothing, because the order does not depend on the work. */
  correctWork(): void {}

  /**
   * Returns the newest entry of the lowest priority below that of `arrival`, or
   * null if there is none.
   */
  findDisplaceable({priority}: Pick<QueuedEntry, 'priority'>): E | null {
    for (let rank = PRIORITY_ORDER.length - 1; rank >= 0; rank--) {
      const lower = PRIORITY_ORDER[rank];
      if (lower === undefined || lower === priority) {
        return null;
      }
      const newest = getNewest(this.entries[lower]);
      if (newest !== null) {
        return newest;
      }
    }
    return null;
  }

  /** Number of entries that are served before a new one of this priority. */
  countAhead(priority: RequestPriority): number {
    let count = 0;
    for (const higher of PRIORITY_ORDER) {
      count += this.entries[higher].size;
      if (higher === priority) {
        break;
      }
    }
    return count;
  }

  /**
   * Returns the entries of the same and more urgent priorities. For a queued
   * entry, only the older ones of its own priority.
   */
  getAhead(entry: QueuedEntry): readonly E[] {
    const ahead: E[] = [];
    for (const priority of PRIORITY_ORDER) {
      for (const other of this.entries[priority]) {
        if (other === entry) {
          return ahead;
        }
        ahead.push(other);
      }
      if (priority === entry.priority) {
        break;
      }
    }
    return ahead;
  }

  /** Returns all entries in the order of service. */
  getAll(): readonly E[] {
    const all: E[] = [];
    for (const priority of PRIORITY_ORDER) {
      all.push(...this.entries[priority]);
    }
    return all;
  }
}

function getNewest<E>(entries: ReadonlySet<E>): E | null {
  let newest: E | null = null;
  for (const entry of entries) {
    newest = entry;
  }
  return newest;
}
