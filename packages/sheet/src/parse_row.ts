import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {
  ReadConsistency,
  ReadRule,
  RequestPriority,
} from '@filbertrun/model/configuration.js';
import {
  SHEET_COLUMNS,
  type SheetColumn,
  type SheetError,
} from './sheet_error.js';

/**
 * Parses and validates one row of the sheet.
 *
 * @public
 */

/** A row of the CSV file. @public */
export interface SheetRow {
  /** Line number, from 1, at which the row ends in the file. */
  readonly row: number;
  readonly cells: readonly string[];
}

const CONSISTENCIES: readonly ReadConsistency[] = ['strict', 'session', 'age'];

const PRIORITIES: readonly RequestPriority[] = ['booking', 'normal', 'lookup'];

const NAME_PATTERN = /^[^\p{Cc}]+$/u;

const MAX_NAME_LENGTH = 64;

const NAME_DESCRIPTION = 'a name of 1 to 64 characters, or * for any';

const AGE_PATTERN = /^(\d{1,8})(ms|s|m|h)$/;

const AGE_DESCRIPTION =
  'a whole number with a unit ms, s, m or h, from 1ms to 24h, such as 500ms, 5s or 2m';

const UNIT_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1000,
  m: 60_000,
  h: 3_600_000,
};

const MAX_AGE_MS = 86_400_000;

/** Parses the cells of a row; returns all errors if there are any. @public */
export function parseCells(
  columns: readonly string[],
  row: SheetRow,
  databaseGroups: ReadonlySet<string>,
): Result<ReadRule, readonly SheetError[]> {
  if (row.cells.length !== SHEET_COLUMNS.length) {
    const count = row.cells.length;
    return failure([{kind: 'wrongCellCount', row: row.row, count}]);
  }
  const reader = RowReader.create(columns, row);
  const application = reader.readName('application');
  const databaseGroup = reader.readGroup(databaseGroups);
  const table = reader.readName('table');
  const consistency = reader.readChoice('consistency', CONSISTENCIES);
  const maxAgeMs = reader.readMaxAge(consistency);
  const priority = reader.readChoice('priority', PRIORITIES);
  if (reader.errors.length > 0) {
    return failure(reader.errors);
  }
  return success({
    application,
    databaseGroup,
    table,
    consistency,
    maxAgeMs,
    priority,
  });
}

/** Parses cells by column name and collects the errors. */
class RowReader {
  readonly errors: SheetError[] = [];

  private constructor(
    private readonly columns: readonly string[],
    private readonly row: SheetRow,
  ) {}

  static create(columns: readonly string[], row: SheetRow): RowReader {
    return new RowReader(columns, row);
  }

  readName(column: SheetColumn): string {
    const value = this.getCell(column);
    if (!NAME_PATTERN.test(value) || value.length > MAX_NAME_LENGTH) {
      this.reject(column, NAME_DESCRIPTION);
    }
    return value;
  }

  readGroup(databaseGroups: ReadonlySet<string>): string {
    const value = this.getCell('database_group');
    if (!databaseGroups.has(value)) {
      const names = [...databaseGroups].slice(0, 20).join(', ');
      const more = databaseGroups.size > 20 ? ', …' : '';
      this.reject('database_group', `a known database group (${names}${more})`);
    }
    return value;
  }

  readChoice<T extends string>(column: SheetColumn, choices: readonly T[]): T {
    const value = this.getCell(column);
    const choice = choices.find(candidate => candidate === value);
    if (choice === undefined) {
      this.reject(column, choices.join(', '));
    }
    return choice ?? (value as T);
  }

  readMaxAge(consistency: ReadConsistency): number | null {
    const value = this.getCell('max_age');
    if (consistency !== 'age') {
      if (value !== '') {
        this.reject('max_age', 'empty unless consistency is age');
      }
      return null;
    }
    const match = AGE_PATTERN.exec(value);
    const ageMs = Number(match?.[1]) * (UNIT_MS[match?.[2] ?? ''] ?? NaN);
    if (!(ageMs >= 1 && ageMs <= MAX_AGE_MS)) {
      this.reject('max_age', AGE_DESCRIPTION);
    }
    return ageMs;
  }

  private getCell(column: SheetColumn): string {
    return this.row.cells[this.columns.indexOf(column)] ?? '';
  }

  private reject(column: SheetColumn, allowed: string): void {
    const value = this.getCell(column);
    const {row} = this.row;
    this.errors.push({kind: 'invalidCell', row, column, value, allowed});
  }
}
