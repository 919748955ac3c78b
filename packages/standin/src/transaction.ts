import type {Commit, Database, DatabaseChange, RowKey} from './database.js';
import type {Row} from './sql_value.js';

/**
 * A transaction: its uncommitted rows and the locks that it holds. Other
 * transactions do not see the rows before the commit.
 */

/** An action that a statement requests for one row. @internal */
export type RowIntent =
  | {
      readonly kind: 'change';
      readonly table: string;
      readonly key: RowKey;
      /** The new row, or null for a deletion. */
      readonly after: Row | null;
    }
  /** Locks the row until the transaction ends. */
  | {readonly kind: 'lock'; readonly table: string; readonly key: RowKey}
  /** Waits until no other transaction has locked the row. */
  | {readonly kind: 'check'; readonly table: string; readonly key: RowKey};

/** An open transaction. @internal */
export class Transaction {
  private readonly overlays = new Map<string, Map<RowKey, Row | null>>();
  private readonly endListeners = new Set<() => void>();
  private waitsFor: Transaction | null = null;

  private constructor() {}

  static create(): Transaction {
    return new Transaction();
  }

  /** Rows of a table that this transaction changed; null marks a deletion. */
  getOverlay(table: string): ReadonlyMap<RowKey, Row | null> | null {
    return this.overlays.get(table) ?? null;
  }

  stage(table: string, key: RowKey, row: Row | null): void {
    let overlay = this.overlays.get(table);
    if (overlay === undefined) {
      overlay = new Map();
      this.overlays.set(table, overlay);
    }
    overlay.set(key, row);
  }

  /** Returns the changes relative to the committed state. */
  createCommit(database: Database): Commit {
    const changes: DatabaseChange[] = [];
    for (const [table, overlay] of this.overlays) {
      const {rows} = database.getTable(table);
      for (const [key, after] of overlay) {
        const before = rows.get(key) ?? null;
        if (before !== null || after !== null) {
          changes.push({kind: 'row', table, key, before, after});
        }
      }
    }
    return changes;
  }

  /** Whether waiting for `holder` would create a cycle of waits. */
  wouldDeadlock(holder: Transaction): boolean {
    let next: Transaction | null = holder;
    while (next !== null) {
      if (next === this) {
        return true;
      }
      next = next.waitsFor;
    }
    return false;
  }

  setWaitsFor(holder: Transaction | null): void {
    this.waitsFor = holder;
  }

  /** Calls `listener` once at the end; returns a function to unsubscribe. */
  onEnd(listener: () => void): () => void {
    this.endListeners.add(listener);
    return () => {
      this.endListeners.delete(listener);
    };
  }

  notifyEnd(): void {
    const listeners = [...this.endListeners];
    this.endListeners.clear();
    for (const listener of listeners) {
      listener();
    }
  }
}

/** Row locks of all open transactions of an instance. @internal */
export class LockTable {
  private readonly holders = new Map<string, Map<RowKey, Transaction>>();
  private readonly held = new Map<Transaction, RowIntent[]>();

  private constructor() {}

  static create(): LockTable {
    return new LockTable();
  }

  /** Returns another transaction that has locked one of the rows, or null. */
  findOtherHolder(
    intents: readonly RowIntent[],
    transaction: Transaction,
  ): Transaction | null {
    if (this.held.size === 0) {
      return null;
    }
    for (const {table, key} of intents) {
      const holder = this.holders.get(table)?.get(key);
      if (holder !== undefined && holder !== transaction) {
        return holder;
      }
    }
    return null;
  }

  lock(intents: readonly RowIntent[], transaction: Transaction): void {
    let held = this.held.get(transaction);
    if (held === undefined) {
      held = [];
      this.held.set(transaction, held);
    }
    for (const intent of intents) {
      if (intent.kind === 'check') {
        continue;
      }
      let rows = this.holders.get(intent.table);
      if (rows === undefined) {
        rows = new Map();
        this.holders.set(intent.table, rows);
      }
      rows.set(intent.key, transaction);
      held.push(intent);
    }
  }

  release(transaction: Transaction): void {
    for (const {table, key} of this.held.get(transaction) ?? []) {
      this.holders.get(table)?.delete(key);
    }
    this.held.delete(transaction);
  }
}
