import type {RequestPriority} from '@filbertrun/model/configuration.js';
import type {ConnectionIdentity} from './pool_types.js';

/** Properties of a request that decide its place in a `RequestQueue`. @internal */
export interface QueuedEntry {
  readonly priority: RequestPriority;
  readonly identity: ConnectionIdentity;
  readonly deadlineMs: number;
  /** Expected time for which the entry will occupy a slot. */
  readonly workMs: number;
  /** Whether another backend server could run the request. */
  readonly isReplaceable: boolean;
}

/** Number of queued entries of each priority. @public */
export type QueueLengths = Readonly<Record<RequestPriority, number>>;

/**
 * Requests that wait for a connection of one backend server, and the order in
 * which they are served. The pool limits the length.
 *
 * @internal
 */
export interface RequestQueue<E extends QueuedEntry> {
  readonly length: number;
  readonly lengths: QueueLengths;
  add(entry: E): void;
  /** Removes an entry that was not served. */
  remove(entry: E): void;
  /** Removes an entry that is served now. */
  serve(entry: E): void;
  /** Corrects the work of a served entry when its real work is known. */
  correctWork(served: QueuedEntry, actualMs: number): void;
  /**
   * Returns the entries in the order of service. Entries may be removed during
   * the iteration.
   */
  getAll(): Iterable<E>;
  /**
   * Returns the entries that are served before `entry`, which may be queued or
   * about to arrive, in any order.
   */
  getAhead(entry: QueuedEntry): readonly E[];
  /** Number of entries of this or a more urgent priority. */
  countAhead(priority: RequestPriority): number;
  /** Returns the entry that a full queue gives up for `arrival`, or null. */
  findDisplaceable(arrival: QueuedEntry): E | null;
}
