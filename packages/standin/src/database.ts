import {SQL_STATE, SqlError} from './sql_error.js';
import type {Row, SqlType, SqlValue} from './sql_value.js';

/**
 * The committed tables of one instance. They change only by whole commits,
 * which can be undone in reverse order when the log is truncated.
 */

/** A column of a table. @internal */
export interface ColumnDefinition {
  readonly name: string;
  readonly type: SqlType;
  readonly isNotNull: boolean;
  readonly defaultValue: SqlValue;
}

/** A table; every table has a primary key. @internal */
export interface TableDefinition {
  readonly name: string;
  readonly columns: readonly ColumnDefinition[];
  /** Indexes of the primary key's columns. */
  readonly primaryKey: readonly number[];
}

/** The primary key of a row as a map key. @internal */
export type RowKey = SqlValue;

/** A change of one row or the creation of a table. @internal */
export type DatabaseChange =
  | {
      readonly kind: 'row';
      readonly table: string;
      readonly key: RowKey;
      readonly before: Row | null;
      readonly after: Row | null;
    }
  | {readonly kind: 'createTable'; readonly definition: TableDefinition};

/** All changes of one commit, in order. @internal */
export type Commit = readonly DatabaseChange[];

/** A table and its committed rows. @internal */
export interface Table {
  readonly definition: TableDefinition;
  readonly rows: Map<RowKey, Row>;
}

/** Returns the primary key of a row. @internal */
export function getRowKey(definition: TableDefinition, row: Row): RowKey {
  const [first] = definition.primaryKey;
  if (definition.primaryKey.length === 1 && first !== undefined) {
    return row[first] ?? null;
  }
  return JSON.stringify(definition.primaryKey.map(index => row[index]));
}

/** The committed tables of one instance. @internal */
export class Database {
  private readonly tables = new Map<string, Table>();
  private catalogVersion = 0;

  private constructor() {}

  static create(): Database {
    return new Database();
  }

  /** Version that increases whenever the set of tables changes. */
  getCatalogVersion(): number {
    return this.catalogVersion;
  }

  findTable(name: string): Table | null {
    return this.tables.get(name) ?? null;
  }

  getTable(name: string): Table {
    const table = this.tables.get(name);
    if (table === undefined) {
      throw SqlError.create(
        SQL_STATE.undefinedTable,
        `relation "${name}" does not exist`,
      );
    }
    return table;
  }

  apply(commit: Commit): void {
    for (const change of commit) {
      if (change.kind === 'createTable') {
        this.addTable(change.definition);
      } else {
        this.setRow(change.table, change.key, change.after);
      }
    }
  }

  /** Undoes the commit that was applied last. */
  undo(commit: Commit): void {
    for (const change of [...commit].reverse()) {
      if (change.kind === 'createTable') {
        this.tables.delete(change.definition.name);
        this.catalogVersion++;
      } else {
        this.setRow(change.table, change.key, change.before);
      }
    }
  }

  private addTable(definition: TableDefinition): void {
    this.tables.set(definition.name, {definition, rows: new Map()});
    this.catalogVersion++;
  }

  private setRow(name: string, key: RowKey, row: Row | null): void {
    const {rows} = this.getTable(name);
    if (row === null) {
      rows.delete(key);
    } else {
      rows.set(key, row);
    }
  }
}
