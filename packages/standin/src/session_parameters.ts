import {SQL_STATE, SqlError} from './sql_error.js';

/**
 * Parameters that the instance reports when they change, with the names under
 * which it reports them.
 */
const REPORTED_PARAMETERS: ReadonlyMap<string, string> = new Map([
  ['application_name', 'application_name'],
  ['client_encoding', 'client_encoding'],
  ['datestyle', 'DateStyle'],
  ['integer_datetimes', 'integer_datetimes'],
  ['intervalstyle', 'IntervalStyle'],
  ['server_encoding', 'server_encoding'],
  ['server_version', 'server_version'],
  ['standard_conforming_strings', 'standard_conforming_strings'],
  ['timezone', 'TimeZone'],
]);

const DEFAULT_VALUES: ReadonlyMap<string, string> = new Map([
  ['application_name', ''],
  ['client_encoding', 'UTF8'],
  ['datestyle', 'ISO, MDY'],
  ['integer_datetimes', 'on'],
  ['intervalstyle', 'postgres'],
  ['server_encoding', 'UTF8'],
  ['server_version', '16.0'],
  ['standard_conforming_strings', 'on'],
  ['timezone', 'UTC'],
  ['search_path', '"$user", public'],
  ['transaction_isolation', 'read committed'],
]);

/** Returns the name that a parameter is reported under, or null. @internal */
export function findReportedName(parameter: string): string | null {
  return REPORTED_PARAMETERS.get(parameter) ?? null;
}

/**
 * The run-time parameters of one connection. A rollback reverts the changes of
 * the transaction; the effect of SET LOCAL ends with the transaction.
 *
 * @internal
 */
export class SessionParameters {
  private values: Map<string, string>;
  private valuesAtBegin: ReadonlyMap<string, string> | null = null;
  private readonly valuesBeforeLocal = new Map<string, string | null>();

  private constructor(private readonly defaults: ReadonlyMap<string, string>) {
    this.values = new Map(defaults);
  }

  static create(
    startupParameters: ReadonlyMap<string, string>,
  ): SessionParameters {
    return new SessionParameters(
      new Map([...DEFAULT_VALUES, ...startupParameters]),
    );
  }

  /** The reported parameters with their values, by reported name. */
  getReported(): ReadonlyMap<string, string> {
    const reported = new Map<string, string>();
    for (const [parameter, name] of REPORTED_PARAMETERS) {
      reported.set(name, this.values.get(parameter) ?? '');
    }
    return reported;
  }

  get(parameter: string): string {
    const value = this.values.get(parameter);
    if (value === undefined) {
      throw SqlError.create(
        SQL_STATE.undefinedObject,
        `unrecognized configuration parameter "${parameter}"`,
      );
    }
    return value;
  }

  /** Sets a parameter; null restores its default. */
  set(parameter: string, value: string | null, isLocal: boolean): void {
    if (isLocal && this.valuesAtBegin === null) {
      return;
    }
    if (!isLocal) {
      this.valuesBeforeLocal.delete(parameter);
    } else if (!this.valuesBeforeLocal.has(parameter)) {
      const before = this.values.get(parameter) ?? null;
      this.valuesBeforeLocal.set(parameter, before);
    }
    this.store(parameter, value ?? this.defaults.get(parameter) ?? null);
  }

  resetAll(): void {
    this.values = new Map(this.defaults);
    this.valuesBeforeLocal.clear();
  }

  handleBegin(): void {
    this.valuesAtBegin = new Map(this.values);
  }

  handleEnd(isCommitted: boolean): void {
    if (!isCommitted && this.valuesAtBegin !== null) {
      this.values = new Map(this.valuesAtBegin);
    } else {
      for (const [parameter, value] of this.valuesBeforeLocal) {
        this.store(parameter, value);
      }
    }
    this.valuesAtBegin = null;
    this.valuesBeforeLocal.clear();
  }

  private store(parameter: string, value: string | null): void {
    if (value === null) {
      this.values.delete(parameter);
    } else {
      this.values.set(parameter, value);
    }
  }
}
