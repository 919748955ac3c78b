import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import {computeHash} from '@filbertrun/membership/rendezvous.js';
import type {GroupView} from './peer_protocol.js';

/**
 * The newest group view of each database group. A view of a higher term
 * replaces one of a lower term. Within a term, a view with a primary replaces
 * one without.
 *
 * @public
 */

/** Maximum number of database groups in a table. */
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

  /** Merges views and returns the new ones, to forward to other proxies. */
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

  /** Returns the newest view of a database group, or null. */
  getView(databaseGroup: DatabaseGroupName): GroupView | null {
    return this.views.get(databaseGroup) ?? null;
  }

  getViews(): readonly GroupView[] {
    return [...this.views.values()];
  }

  /** Hash of all views; tables with the same views have the same hash. */
  getDigest(): number {
    return this.digest >>> 0;
  }

  /** Calls `listener` for each new view; returns a function to unsubscribe. */
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
