import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';

/**
 * Errors in a sheet and their descriptions.
 *
 * @public
 */

/**
 * Columns of the sheet. The header lists each of them once, in any order.
 *
 * @public
 */
export const SHEET_COLUMNS = [
  'application',
  'database_group',
  'table',
  'consistency',
  'max_age',
  'priority',
] as const;

/** Name of a column of the sheet. @public */
export type SheetColumn = (typeof SHEET_COLUMNS)[number];

/** An error in a sheet. Rows are line numbers; the header is line 1. @public */
export type SheetError =
  | {readonly kind: 'malformedCsv'; readonly reason: string}
  | {readonly kind: 'emptySheet'}
  | {readonly kind: 'tooLong'; readonly limit: string}
  | {
      readonly kind: 'invalidHeader';
      readonly column: string;
      readonly problem: 'missing' | 'repeated' | 'unknown';
    }
  | {
      readonly kind: 'wrongCellCount';
      readonly row: number;
      readonly count: number;
    }
  | {
      readonly kind: 'invalidCell';
      readonly row: number;
      readonly column: SheetColumn;
      readonly value: string;
      readonly allowed: string;
    }
  | {
      readonly kind: 'duplicateRule' | 'contradictoryRule';
      readonly row: number;
      readonly firstRow: number;
      readonly rule: string;
    };

/** Formats an error for display to a planner. @public */
export function describeSheetError(error: SheetError): string {
  switch (error.kind) {
    case 'malformedCsv':
      return `the file is not valid CSV: ${error.reason}`;
    case 'emptySheet':
      return 'the sheet contains no rules';
    case 'tooLong':
      return `the sheet is longer than ${error.limit}`;
    case 'invalidHeader':
      return `row 1: column "${error.column}" is ${error.problem}; the columns are ${SHEET_COLUMNS.join(', ')}`;
    case 'wrongCellCount':
      return `row ${error.row}: ${error.count} cells instead of ${SHEET_COLUMNS.length}`;
    case 'invalidCell':
      return `row ${error.row}, column ${error.column}: "${error.value}" is not allowed; allowed: ${error.allowed}`;
    case 'duplicateRule':
      return `row ${error.row}: repeats the rule of row ${error.firstRow} (${error.rule})`;
    case 'contradictoryRule':
      return `row ${error.row}: contradicts row ${error.firstRow}, which has a rule for the same reads (${error.rule})`;
    default:
      return exhaustiveSwitchError(error);
  }
}
