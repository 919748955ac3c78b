import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import {computeHash} from '@filbertrun/membership/rendezvous.js';
import type {GroupView} from './peer_protocol.js';

/**
 * The newest known primary of each database group. A view of a higher term
 * replaces one of a lower term; within a term a named primary replaces none.
 *
 * @public
 */

/** Database groups that a board holds at most. */
const MAX_GROUPS = 2000;

type GroupViewListener = (view: GroupView) => void;

/** Keeps the newest view of each database group. @public */
export class GroupViewTable {
  private readonly views = new Map<DatabaseGroupName, GroupView>();
  private readonly listeners = new Set<GroupViewListener>();
  private digest = 0;

  private constructor() {}

  static create(): GroupViewTable {
    return new GroupViewTable();
  }

  /** Takes what is new and gives it back, to be passed on. */
  merge(views: readonly GroupView[]): readonly GroupView[] {
    const newViews: GroupView[] = [];
    for (const view of views) {
      if (this.applyView(view)) {
        newViews.push(view);
      }
    }
    for (const view of newViews) {
      for (const listener of this.listeners) {
        listener(view);
      }
    }
    return newViews;
  }

  /** The newest view of a database group; null when none is known. */
  getView(databaseGroup: DatabaseGroupName): GroupView | null {
    return this.views.get(databaseGroup) ?? null;
  }

  getViews(): readonly GroupView[] {
    return [...this.views.values()];
  }

  /** Hash of all views, the same on boards that hold the same. */
  getDigest(): number {
    return this.digest >>> 0;
  }

  /** Calls `listener` with each new view; gives a function that ends the calls. */
  onView(listener: GroupViewListener): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  private applyView(view: GroupView): boolean {
    const current = this.views.get(view.databaseGroup);
    const isFull = current === undefined && this.views.size >= MAX_GROUPS;
    if (isFull || (current !== undefined && !isNewer(view, current))) {
      return false;
    }
    if (current !== undefined) {
      this.digest ^= hashView(current);
    }
    this.digest ^= hashView(view);
    this.views.set(view.databaseGroup, view);
    return true;
  }
}

function isNewer(view: GroupView, current: GroupView): boolean {
  if (view.term !== current.term) {
    return view.term > current.term;
  }
  return current.primary === null && view.primary !== null;
}

function hashView(view: GroupView): number {
  return computeHash(`${view.databaseGroup} ${view.term} ${view.primary}`);
}
