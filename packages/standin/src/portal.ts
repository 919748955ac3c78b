import type {StatementResult} from './statement_result.js';
import type {FieldDescription} from './message_writer.js';
import type {Row, SqlValue, WireFormat} from './sql_value.js';
import type {OutputColumn, StatementPlan} from './statement_plan.js';

/**
 * A statement bound to its parameters, whose result is fetched in one or more
 * parts.
 *
 * @internal
 */
export class Portal {
  private result: StatementResult | null = null;
  private iterator: Iterator<Row> | null = null;

  private constructor(
    readonly plan: StatementPlan,
    readonly parameters: readonly SqlValue[],
    readonly fields: readonly FieldDescription[],
  ) {}

  static create(
    plan: StatementPlan,
    parameters: readonly SqlValue[],
    resultFormats: readonly WireFormat[],
  ): Portal {
    const fields = createFields(plan.body.columns, resultFormats);
    return new Portal(plan, parameters, fields);
  }

  /** The result, or null if the statement has not run yet. */
  getResult(): StatementResult | null {
    return this.result;
  }

  setResult(result: StatementResult): void {
    this.result = result;
    this.iterator = result.rows[Symbol.iterator]();
  }

  /** Returns the next row of the result, or null after the last. */
  nextRow(): Row | null {
    const next = this.iterator?.next();
    if (next === undefined || next.done === true) {
      return null;
    }
    return next.value;
  }
}

function createFields(
  columns: readonly OutputColumn[],
  formats: readonly WireFormat[],
): readonly FieldDescription[] {
  const [sharedFormat = 'text'] = formats;
  return columns.map(({name, type}, index) => ({
    name,
    type,
    format: formats.length > 1 ? (formats[index] ?? 'text') : sharedFormat,
  }));
}
