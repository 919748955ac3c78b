/**
 * An error that the instance reports to a client. It is thrown inside the SQL
 * layer and caught by the session, which sends it as an ErrorResponse.
 *
 * @internal
 */
export class SqlError extends Error {
  private constructor(
    readonly sqlState: string,
    message: string,
    /** FATAL ends the connection. */
    readonly severity: 'ERROR' | 'FATAL',
  ) {
    super(message);
    this.name = 'SqlError';
  }

  static create(sqlState: string, message: string): SqlError {
    return new SqlError(sqlState, message, 'ERROR');
  }

  static createFatal(sqlState: string, message: string): SqlError {
    return new SqlError(sqlState, message, 'FATAL');
  }
}

/** SQLSTATE codes that the stand-in reports. @internal */
export const SQL_STATE = {
  protocolViolation: '08P01',
  featureNotSupported: '0A000',
  numericOutOfRange: '22003',
  divisionByZero: '22012',
  invalidParameterValue: '22023',
  invalidTextRepresentation: '22P02',
  notNullViolation: '23502',
  uniqueViolation: '23505',
  readOnlyTransaction: '25006',
  failedTransaction: '25P02',
  invalidStatementName: '26000',
  invalidPassword: '28P01',
  undefinedDatabase: '3D000',
  invalidCursorName: '34000',
  deadlockDetected: '40P01',
  syntaxError: '42601',
  undefinedColumn: '42703',
  undefinedObject: '42704',
  groupingError: '42803',
  datatypeMismatch: '42804',
  duplicateStatement: '42P05',
  undefinedTable: '42P01',
  undefinedParameter: '42P02',
  duplicateTable: '42P07',
  tooManyConnections: '53300',
  lockNotAvailable: '55P03',
  queryCanceled: '57014',
  adminShutdown: '57P01',
  crashShutdown: '57P02',
  internalError: 'XX000',
} as const;

/** Creates the error for SQL that the stand-in does not support. @internal */
export function createNotSupportedError(feature: string): SqlError {
  return SqlError.create(
    SQL_STATE.featureNotSupported,
    `${feature} is not supported`,
  );
}
