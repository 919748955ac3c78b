/** Rows of the stand-in's store, with versions and conditional changes. */

/** Identifies a row. @internal */
export interface RowKey {
  readonly table: string;
  readonly key: string;
}

/** A row; its text is null once it is removed. @internal */
export interface Row extends RowKey {
  readonly text: string | null;
  readonly version: number;
}

/** A change of a row; a null text removes it. @internal */
export interface RowChange extends RowKey {
  readonly text: string | null;
}

/** Keeps all rows in memory. @internal */
export class RowTable {
  private readonly rows = new Map<string, Row>();
  private readonly waiting = new Set<() => void>();
  private newestVersion = 0;

  private constructor(private readonly handleChange: (row: Row) => void) {}

  /** `handleChange` is called with each row that has changed. */
  static create(handleChange: (row: Row) => void): RowTable {
    return new RowTable(handleChange);
  }

  get version(): number {
    return this.newestVersion;
  }

  /** The rows of a table, removed ones included, by key. */
  list(table: string): readonly Row[] {
    return [...this.rows.values()]
      .filter(row => row.table === table)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  /** Rows that changed after a version, in the order of their changes. */
  listChanges(table: string, afterVersion: number): readonly Row[] {
    return this.list(table)
      .filter(({version}) => version > afterVersion)
      .sort((left, right) => left.version - right.version);
  }

  /** Text of a row; null if there is none. */
  getText(table: string, key: string): string | null {
    return this.rows.get(joinKey({table, key}))?.text ?? null;
  }

  /** Version of a row; 0 if there is none. */
  getVersion(rowKey: RowKey): number {
    const row = this.rows.get(joinKey(rowKey));
    return row === undefined || row.text === null ? 0 : row.version;
  }

  apply(changes: readonly RowChange[]): void {
    this.newestVersion++;
    for (const change of changes) {
      const row = {...change, version: this.newestVersion};
      this.rows.set(joinKey(change), row);
      this.handleChange(row);
    }
    for (const resume of [...this.waiting]) {
      resume();
    }
  }

  /** Resolves with the next change, or after a time. */
  async waitForChange(waitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const resume = () => {
        clearTimeout(timer);
        this.waiting.delete(resume);
        resolve();
      };
      const timer = setTimeout(resume, waitMs);
      this.waiting.add(resume);
    });
  }
}

function joinKey({table, key}: RowKey): string {
  return `${table}\n${key}`;
}
