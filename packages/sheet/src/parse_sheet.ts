import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {ReadRule} from '@filbertrun/model/configuration.js';
import {parse} from 'csv-parse/sync';
import {parseCells, type SheetRow} from './parse_row.js';
import {SHEET_COLUMNS, type SheetError} from './sheet_error.js';

/**
 * Parses the planners' CSV sheet of read rules. A sheet with any error is
 * rejected as a whole.
 *
 * @public
 */

/** Maximum length of a sheet, in characters. */
const MAX_SHEET_LENGTH = 4_000_000;

/** Maximum number of rules in a sheet. */
const MAX_RULES = 20_000;

/** Maximum number of errors that are reported. */
const MAX_ERRORS = 100;

interface CsvRecord {
  readonly record: readonly string[];
  readonly info: {readonly lines: number};
}

interface ParsedSheetRow {
  readonly row: number;
  readonly rule: ReadRule;
}

/** Parses a sheet; each rule must name one of `databaseGroups`. @public */
export function parseSheet(
  text: string,
  databaseGroups: readonly string[],
): Result<readonly ReadRule[], readonly SheetError[]> {
  const records = readRecords(text);
  if (!records.ok) {
    return failure([records.error]);
  }
  const [header, ...rows] = records.value;
  if (header === undefined) {
    return failure([{kind: 'emptySheet'}]);
  }
  const headerErrors = checkHeader(header);
  if (headerErrors.length > 0) {
    return failure(headerErrors);
  }
  if (rows.length === 0) {
    return failure([{kind: 'emptySheet'}]);
  }
  if (rows.length > MAX_RULES) {
    return failure([{kind: 'tooLong', limit: `${MAX_RULES} rows`}]);
  }
  return readRows(header.cells, rows, databaseGroups);
}

function readRows(
  columns: readonly string[],
  rows: readonly SheetRow[],
  databaseGroups: readonly string[],
): Result<readonly ReadRule[], readonly SheetError[]> {
  const errors: SheetError[] = [];
  const parsedRows: ParsedSheetRow[] = [];
  const known = new Set(databaseGroups);
  for (const row of rows) {
    const rule = parseCells(columns, row, known);
    if (!rule.ok) {
      errors.push(...rule.error);
      continue;
    }
    parsedRows.push({row: row.row, rule: rule.value});
  }
  errors.push(...findRepeatedRules(parsedRows));
  if (errors.length > 0) {
    return failure(errors.slice(0, MAX_ERRORS));
  }
  return success(parsedRows.map(entry => entry.rule));
}

function readRecords(text: string): Result<readonly SheetRow[], SheetError> {
  if (text.length > MAX_SHEET_LENGTH) {
    const limit = `${MAX_SHEET_LENGTH} characters`;
    return failure({kind: 'tooLong', limit});
  }
  try {
    const records = parse(text, {
      bom: true,
      info: true,
      relax_column_count: true,
      skip_empty_lines: true,
      trim: true,
    }) as unknown as readonly CsvRecord[];
    return success(
      records.map(({record, info}) => ({row: info.lines, cells: record})),
    );
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return failure({kind: 'malformedCsv', reason});
  }
}

function checkHeader(header: SheetRow): readonly SheetError[] {
  const errors: SheetError[] = [];
  for (const column of SHEET_COLUMNS) {
    const count = header.cells.filter(cell => cell === column).length;
    if (count !== 1) {
      const problem = count === 0 ? 'missing' : 'repeated';
      errors.push({kind: 'invalidHeader', column, problem});
    }
  }
  for (const column of header.cells) {
    if (!SHEET_COLUMNS.some(known => known === column)) {
      errors.push({kind: 'invalidHeader', column, problem: 'unknown'});
    }
  }
  return errors;
}

/** Finds rules for the same reads: duplicates if equal, else contradictions. */
function findRepeatedRules(
  rows: readonly ParsedSheetRow[],
): readonly SheetError[] {
  const errors: SheetError[] = [];
  const firstByKey = new Map<string, ParsedSheetRow>();
  for (const entry of rows) {
    const {application, databaseGroup, table} = entry.rule;
    const key = JSON.stringify([application, databaseGroup, table]);
    const first = firstByKey.get(key);
    if (first === undefined) {
      firstByKey.set(key, entry);
      continue;
    }
    const isEqual = JSON.stringify(first.rule) === JSON.stringify(entry.rule);
    errors.push({
      kind: isEqual ? 'duplicateRule' : 'contradictoryRule',
      row: entry.row,
      firstRow: first.row,
      rule: `${application}, ${databaseGroup}, ${table}`,
    });
  }
  return errors;
}
