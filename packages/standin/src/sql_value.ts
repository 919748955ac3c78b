import {SQL_STATE, SqlError, createNotSupportedError} from './sql_error.js';

/**
 * SQL values and types of the stand-in, and their encodings on the wire.
 */

/** A type that the stand-in stores or computes. @internal */
export type SqlType = 'bool' | 'int4' | 'int8' | 'float8' | 'text' | 'void';

/** A value; integers are exact up to 2^53. @internal */
export type SqlValue = boolean | number | string | null;

/** A row of a table or a result. @internal */
export type Row = readonly SqlValue[];

/** Encoding of a value on the wire. @internal */
export type WireFormat = 'text' | 'binary';

const TYPE_OIDS: Readonly<Record<SqlType, number>> = {
  bool: 16,
  int8: 20,
  int4: 23,
  text: 25,
  float8: 701,
  void: 2278,
};

const TYPE_SIZES: Readonly<Record<SqlType, number>> = {
  bool: 1,
  int8: 8,
  int4: 4,
  text: -1,
  float8: 8,
  void: 4,
};

const TYPES_BY_OID: ReadonlyMap<number, SqlType> = new Map([
  [16, 'bool'],
  [20, 'int8'],
  [21, 'int4'],
  [23, 'int4'],
  [25, 'text'],
  [700, 'float8'],
  [701, 'float8'],
  [1043, 'text'],
]);

const TYPES_BY_NAME: ReadonlyMap<string, SqlType> = new Map([
  ['bool', 'bool'],
  ['boolean', 'bool'],
  ['smallint', 'int4'],
  ['int2', 'int4'],
  ['int', 'int4'],
  ['integer', 'int4'],
  ['int4', 'int4'],
  ['bigint', 'int8'],
  ['int8', 'int8'],
  ['real', 'float8'],
  ['float', 'float8'],
  ['float8', 'float8'],
  ['double precision', 'float8'],
  ['numeric', 'float8'],
  ['decimal', 'float8'],
  ['text', 'text'],
  ['varchar', 'text'],
  ['character varying', 'text'],
  ['char', 'text'],
  ['character', 'text'],
]);

const SMALLEST_INT4 = -(2 ** 31);
const LARGEST_INT4 = 2 ** 31 - 1;

/** Returns the object identifier (OID) of a type. @internal */
export function getTypeOid(type: SqlType): number {
  return TYPE_OIDS[type];
}

/** Returns the size of a type in bytes as in RowDescription. @internal */
export function getTypeSize(type: SqlType): number {
  return TYPE_SIZES[type];
}

/** Returns the type with an OID; null if it is unknown or 0. @internal */
export function getTypeByOid(oid: number): SqlType | null {
  return TYPES_BY_OID.get(oid) ?? null;
}

/** Returns the type with a SQL name; throws if it is unknown. @internal */
export function getTypeByName(name: string): SqlType {
  const type = TYPES_BY_NAME.get(name.toLowerCase());
  if (type === undefined) {
    throw createNotSupportedError(`Type ${name}`);
  }
  return type;
}

/** Converts a value to a type, as a cast or an assignment does. @internal */
export function convertValue(value: SqlValue, type: SqlType): SqlValue {
  if (value === null) {
    return null;
  }
  switch (type) {
    case 'text':
    case 'void':
      return typeof value === 'string' ? value : formatValue(value);
    case 'bool':
      return typeof value === 'boolean' ? value : parseBoolean(String(value));
    case 'int4':
      return checkInteger(toNumber(value), SMALLEST_INT4, LARGEST_INT4);
    case 'int8':
      return checkInteger(
        toNumber(value),
        Number.MIN_SAFE_INTEGER,
        Number.MAX_SAFE_INTEGER,
      );
    case 'float8':
      return toNumber(value);
  }
}

/** Formats a value that is not null as text. @internal */
export function formatValue(value: boolean | number | string): string {
  if (typeof value === 'boolean') {
    return value ? 't' : 'f';
  }
  return String(value);
}

/** Compares two values that are not null. @internal */
export function compareValues(
  left: boolean | number | string,
  right: boolean | number | string,
): number {
  if (typeof left === 'number' && typeof right === 'number') {
    return left - right;
  }
  if (typeof left !== typeof right) {
    throw SqlError.create(
      SQL_STATE.datatypeMismatch,
      'The compared values have different types',
    );
  }
  if (left === right) {
    return 0;
  }
  return left < right ? -1 : 1;
}

/** Decodes a parameter from the wire. @internal */
export function decodeValue(
  bytes: Buffer,
  type: SqlType,
  format: WireFormat,
): SqlValue {
  if (format === 'text') {
    return convertValue(bytes.toString('utf8'), type);
  }
  switch (type) {
    case 'bool':
      return bytes[0] === 1;
    case 'int4':
    case 'int8':
      return decodeBinaryInteger(bytes);
    case 'float8':
      return bytes.length === 4 ? bytes.readFloatBE(0) : bytes.readDoubleBE(0);
    case 'text':
    case 'void':
      return bytes.toString('utf8');
  }
}

/** Encodes a value that is not null in binary format. @internal */
export function encodeBinaryValue(
  value: boolean | number | string,
  type: SqlType,
): Buffer {
  const size = TYPE_SIZES[type];
  if (type === 'text' || type === 'void') {
    return Buffer.from(formatValue(value), 'utf8');
  }
  const bytes = Buffer.allocUnsafe(size);
  if (type === 'bool') {
    bytes[0] = value === true ? 1 : 0;
  } else if (type === 'int4') {
    bytes.writeInt32BE(Number(value));
  } else if (type === 'int8') {
    bytes.writeBigInt64BE(BigInt(Number(value)));
  } else {
    bytes.writeDoubleBE(Number(value));
  }
  return bytes;
}

function decodeBinaryInteger(bytes: Buffer): number {
  switch (bytes.length) {
    case 2:
      return bytes.readInt16BE(0);
    case 4:
      return bytes.readInt32BE(0);
    case 8:
      return checkInteger(
        Number(bytes.readBigInt64BE(0)),
        Number.MIN_SAFE_INTEGER,
        Number.MAX_SAFE_INTEGER,
      );
    default:
      throw SqlError.create(
        SQL_STATE.protocolViolation,
        `An integer has ${bytes.length} bytes`,
      );
  }
}

function toNumber(value: boolean | number | string): number {
  if (typeof value === 'number') {
    return value;
  }
  if (typeof value === 'boolean') {
    return value ? 1 : 0;
  }
  const text = value.trim();
  const number = Number(text);
  if (text === '' || Number.isNaN(number)) {
    throw SqlError.create(
      SQL_STATE.invalidTextRepresentation,
      `invalid input syntax for a number: "${value}"`,
    );
  }
  return number;
}

function checkInteger(value: number, low: number, high: number): number {
  const rounded = Math.round(value);
  if (rounded < low || rounded > high) {
    throw SqlError.create(SQL_STATE.numericOutOfRange, 'integer out of range');
  }
  return rounded;
}

function parseBoolean(text: string): boolean {
  switch (text.trim().toLowerCase()) {
    case 't':
    case 'true':
    case 'yes':
    case 'on':
    case '1':
      return true;
    case 'f':
    case 'false':
    case 'no':
    case 'off':
    case '0':
      return false;
    default:
      throw SqlError.create(
        SQL_STATE.invalidTextRepresentation,
        `invalid input syntax for type boolean: "${text}"`,
      );
  }
}
