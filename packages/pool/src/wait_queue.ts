import type {RequestPriority} from '@filbertrun/model/configuration.js';

/** Priorities from the first served to the last. @internal */
export const PRIORITY_ORDER = [
  'booking',
  'normal',
  'lookup',
] as const satisfies readonly RequestPriority[];

/** What the queue needs of an entry. @internal */
export interface QueuedEntry {
  readonly priority: RequestPriority;
}

/**
 * A queue by priority and, within a priority, by arrival. It keeps no bound of
 * its own; the pool does.
 *
 * @internal
 */
export class WaitQueue<E extends QueuedEntry> {
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

  add(entry: E): void {
    this.entries[entry.priority].add(entry);
  }

  remove(entry: E): void {
    this.entries[entry.priority].delete(entry);
  }

  /** The entry to serve next, or null. It stays in the queue. */
  getFirst(): E | null {
    for (const priority of PRIORITY_ORDER) {
      for (const entry of this.entries[priority]) {
        return entry;
      }
    }
    return null;
  }

  /** The latest entry of the lowest priority below `priority`, or null. */
  findDisplaceable(priority: RequestPriority): E | null {
    for (let rank = PRIORITY_ORDER.length - 1; rank >= 0; rank--) {
      const lower = PRIORITY_ORDER[rank];
      if (lower === undefined || lower === priority) {
        return null;
      }
      const latest = getLatest(this.entries[lower]);
      if (latest !== null) {
        return latest;
      }
    }
    return null;
  }

  /** Entries that are served before a new one of this priority. */
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

  /** All entries in the order of service. */
  getAll(): readonly E[] {
    const all: E[] = [];
    for (const priority of PRIORITY_ORDER) {
      all.push(...this.entries[priority]);
    }
    return all;
  }
}

function getLatest<E>(entries: ReadonlySet<E>): E | null {
  let latest: E | null = null;
  for (const entry of entries) {
    latest = entry;
  }
  return latest;
}
