import type {ConnectionIdentity} from './pool_types.js';
import type {QueuedEntry} from './request_queue.js';

/**
 * Start-time fair queueing among the identities of one priority. Each identity
 * has a start tag: the work that it has used, on a virtual time that follows
 * the identity in service. The identity with the lowest start tag is served
 * next, and its tag grows by the work of the entry. An identity that has used
 * no work recently starts at the current virtual time, so unused shares are not
 * saved up.
 *
 * Reference: Jin, Chase, Kaur, "Interposed proportional sharing for a storage
 * service utility", 2004: SFQ(D), the variant for several concurrent slots.
 */

/** Queued entries of an identity and the work that it has used. */
interface Flow<E> {
  /** By deadline. */
  entries: readonly E[];
  /** Start tag of the next entry; the finish tag of the last served one. */
  startTag: number;
}

interface TaggedEntry<E> {
  readonly entry: E;
  readonly tag: number;
}

/** Number of identities without entries at which expired ones are removed. */
const MAX_EMPTY_FLOWS = 256;

/**
 * The correction of an entry's work is limited to this multiple of its expected
 * work. Otherwise a statement that waited seconds for a lock would push its
 * identity behind all others until each has used as many seconds.
 */
const MAX_WORK_FACTOR = 4;

/** Queue of one priority with fairness among identities. @internal */
export class FairLane<E extends QueuedEntry> {
  private readonly flows = new Map<ConnectionIdentity, Flow<E>>();
  private virtualTime = 0;
  private size = 0;

  private constructor() {}

  static create<E extends QueuedEntry>(): FairLane<E> {
    return new FairLane<E>();
  }

  get length(): number {
    return this.size;
  }

  /** Returns the entries in any order. */
  getEntries(): readonly E[] {
    return [...this.flows.values()].flatMap(({entries}) => entries);
  }

  add(entry: E): void {
    const flow = this.getOrCreateFlow(entry.identity);
    if (flow.entries.length === 0) {
      flow.startTag = Math.max(flow.startTag, this.virtualTime);
    }
    const index = countUntilDeadline(flow.entries, entry.deadlineMs);
    flow.entries = flow.entries.toSpliced(index, 0, entry);
    this.size++;
  }

  /** Removes an entry that was not served, if it is queued. */
  remove(entry: E): void {
    const flow = this.flows.get(entry.identity);
    const index = flow?.entries.indexOf(entry) ?? -1;
    if (flow === undefined || index < 0) {
      return;
    }
    flow.entries = flow.entries.toSpliced(index, 1);
    this.size--;
    this.removeExpiredFlows();
  }

  serve(entry: E): void {
    const flow = this.flows.get(entry.identity);
    if (flow !== undefined) {
      this.virtualTime = Math.max(this.virtualTime, flow.startTag);
      flow.startTag += entry.workMs;
    }
    this.remove(entry);
  }

  correctWork(served: QueuedEntry, actualMs: number): void {
    const flow = this.flows.get(served.identity);
    if (flow === undefined) {
      return;
    }
    const chargedMs = Math.min(actualMs, served.workMs * MAX_WORK_FACTOR);
    const correctedTag = flow.startTag + chargedMs - served.workMs;
    flow.startTag = Math.max(correctedTag, this.virtualTime);
  }

  /** Returns the entries in the order of service. */
  getAll(): readonly E[] {
    const tagged: TaggedEntry<E>[] = [];
    for (const {entries, startTag} of this.flows.values()) {
      let tag = startTag;
      for (const entry of entries) {
        tagged.push({entry, tag});
        tag += entry.workMs;
      }
    }
    tagged.sort(compareTagged);
    return tagged.map(({entry}) => entry);
  }

  /** Returns the entries served before `entry`, which may be queued or not. */
  getAhead(entry: QueuedEntry): readonly E[] {
    const ahead: E[] = [];
    const entryTag = this.getTag(entry);
    for (const [identity, {entries, startTag}] of this.flows) {
      let tag = startTag;
      for (const other of entries) {
        const isAhead =
          identity === entry.identity
            ? other !== entry && other.deadlineMs <= entry.deadlineMs
            : tag < entryTag ||
              (tag === entryTag && other.deadlineMs <= entry.deadlineMs);
        if (!isAhead) {
          break;
        }
        ahead.push(other);
        tag += other.workMs;
      }
    }
    return ahead;
  }

  /** Returns the entry with the highest start tag and that tag. */
  findLast(): TaggedEntry<E> | null {
    let last: TaggedEntry<E> | null = null;
    for (const {entries, startTag} of this.flows.values()) {
      let tag = startTag;
      for (const entry of entries) {
        if (last === null || tag >= last.tag) {
          last = {entry, tag};
        }
        tag += entry.workMs;
      }
    }
    return last;
  }

  /** Returns the start tag that an entry has or would have on arrival. */
  getTag(entry: QueuedEntry): number {
    const flow = this.flows.get(entry.identity);
    if (flow === undefined) {
      return this.virtualTime;
    }
    let tag =
      flow.entries.length > 0
        ? flow.startTag
        : Math.max(flow.startTag, this.virtualTime);
    for (const other of flow.entries) {
      if (other === entry || other.deadlineMs > entry.deadlineMs) {
        break;
      }
      tag += other.workMs;
    }
    return tag;
  }

  private getOrCreateFlow(identity: ConnectionIdentity): Flow<E> {
    let flow = this.flows.get(identity);
    if (flow === undefined) {
      flow = {entries: [], startTag: this.virtualTime};
      this.flows.set(identity, flow);
    }
    return flow;
  }

  /** Removes identities that would start at the virtual time anyway. */
  private removeExpiredFlows(): void {
    if (this.flows.size <= this.size + MAX_EMPTY_FLOWS) {
      return;
    }
    for (const [identity, {entries, startTag}] of this.flows) {
      if (entries.length === 0 && startTag <= this.virtualTime) {
        this.flows.delete(identity);
      }
    }
  }
}

/** Number of entries whose deadline is not after `deadlineMs`. */
function countUntilDeadline(
  entries: readonly QueuedEntry[],
  deadlineMs: number,
): number {
  const index = entries.findIndex(entry => entry.deadlineMs > deadlineMs);
  return index < 0 ? entries.length : index;
}

/** Orders by tag, entries of the same tag by deadline. */
function compareTagged<E extends QueuedEntry>(
  left: TaggedEntry<E>,
  right: TaggedEntry<E>,
): number {
  return left.tag - right.tag || left.entry.deadlineMs - right.entry.deadlineMs;
}
