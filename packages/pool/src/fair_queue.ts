import type {RequestPriority} from '@filbertrun/model/configuration.js';
import {FairLane} from './fair_lane.js';
import type {QueuedEntry, QueueLengths, RequestQueue} from './request_queue.js';
import {PRIORITY_ORDER} from './wait_queue.js';

/**
 * Queue that serves by priority, then fairly among identities by the work that
 * they have used, then by the earliest deadline. Fairness is kept for each
 * priority by itself, so urgent work of an identity does not delay its less
 * urgent work beyond what the priorities do.
 *
 * @internal
 */
export class FairQueue<E extends QueuedEntry> implements RequestQueue<E> {
  private readonly lanes: Readonly<Record<RequestPriority, FairLane<E>>> = {
    booking: FairLane.create(),
    normal: FairLane.create(),
    lookup: FairLane.create(),
  };

  private constructor() {}

  static create<E extends QueuedEntry>(): FairQueue<E> {
    return new FairQueue<E>();
  }

  get length(): number {
    const {booking, normal, lookup} = this.lanes;
    return booking.length + normal.length + lookup.length;
  }

  get lengths(): QueueLengths {
    const {booking, normal, lookup} = this.lanes;
    return {
      booking: booking.length,
      normal: normal.length,
      lookup: lookup.length,
    };
  }

  add(entry: E): void {
    this.lanes[entry.priority].add(entry);
  }

  remove(entry: E): void {
    this.lanes[entry.priority].remove(entry);
  }

  serve(entry: E): void {
    this.lanes[entry.priority].serve(entry);
  }

  correctWork(served: QueuedEntry, actualMs: number): void {
    this.lanes[served.priority].correctWork(served, actualMs);
  }

  *getAll(): Generator<E, void, undefined> {
    for (const priority of PRIORITY_ORDER) {
      yield* this.lanes[priority].getAll();
    }
  }

  getAhead(entry: QueuedEntry): readonly E[] {
    const ahead: E[] = [];
    for (const priority of PRIORITY_ORDER) {
      if (priority === entry.priority) {
        ahead.push(...this.lanes[priority].getAhead(entry));
        break;
      }
      ahead.push(...this.lanes[priority].getEntries());
    }
    return ahead;
  }

  countAhead(priority: RequestPriority): number {
    let count = 0;
    for (const higher of PRIORITY_ORDER) {
      count += this.lanes[higher].length;
      if (higher === priority) {
        break;
      }
    }
    return count;
  }

  /**
   * Returns the last entry of the lowest priority. Within the priority of
   * `arrival`, only an entry that is served later, so that an identity with
   * many entries gives way to one with few.
   */
  findDisplaceable(arrival: QueuedEntry): E | null {
    for (const priority of PRIORITY_ORDER.toReversed()) {
      const lane = this.lanes[priority];
      const last = lane.findLast();
      if (priority === arrival.priority) {
        const isLater = last !== null && last.tag > lane.getTag(arrival);
        return isLater ? last.entry : null;
      }
      if (last !== null) {
        return last.entry;
      }
    }
    return null;
  }
}
