import type {SqlError} from './sql_error.js';
import {
  encodeBinaryValue,
  formatValue,
  getTypeOid,
  getTypeSize,
  type Row,
  type SqlType,
  type WireFormat,
} from './sql_value.js';

/**
 * Writes messages of a PostgreSQL server, protocol version 3, into one buffer
 * that is sent once per turn of the event loop.
 */

/** A column of a result as RowDescription describes it. @internal */
export interface FieldDescription {
  readonly name: string;
  readonly type: SqlType;
  readonly format: WireFormat;
}

/** Transaction status that ReadyForQuery reports. @internal */
export type ReadyStatus = 'I' | 'T' | 'E';

const INITIAL_CAPACITY_BYTES = 1024;

/** A larger buffer is released after it was sent, to bound memory. */
const MAX_RETAINED_CAPACITY_BYTES = 256 * 1024;

/** Most bytes that one UTF-16 code unit takes in UTF-8. */
const MAX_BYTES_PER_CHARACTER = 3;

const AUTHENTICATION_OK = 0;
const AUTHENTICATION_SASL = 10;
const AUTHENTICATION_SASL_CONTINUE = 11;
const AUTHENTICATION_SASL_FINAL = 12;

/** Serializes server messages. @internal */
export class MessageWriter {
  private buffer = Buffer.allocUnsafe(INITIAL_CAPACITY_BYTES);
  private offset = 0;
  private messageStart = 0;

  private constructor() {}

  static create(): MessageWriter {
    return new MessageWriter();
  }

  getSize(): number {
    return this.offset;
  }

  /** Returns the bytes written since the last call. */
  take(): Buffer {
    const bytes = Buffer.allocUnsafe(this.offset);
    this.buffer.copy(bytes, 0, 0, this.offset);
    this.offset = 0;
    if (this.buffer.length > MAX_RETAINED_CAPACITY_BYTES) {
      this.buffer = Buffer.allocUnsafe(INITIAL_CAPACITY_BYTES);
    }
    return bytes;
  }

  writeAuthenticationOk(): void {
    this.begin('R');
    this.writeInt32(AUTHENTICATION_OK);
    this.end();
  }

  writeSaslMechanisms(mechanisms: readonly string[]): void {
    this.begin('R');
    this.writeInt32(AUTHENTICATION_SASL);
    for (const mechanism of mechanisms) {
      this.writeCString(mechanism);
    }
    this.writeByte(0);
    this.end();
  }

  writeSaslContinue(data: string): void {
    this.begin('R');
    this.writeInt32(AUTHENTICATION_SASL_CONTINUE);
    this.writeText(data);
    this.end();
  }

  writeSaslFinal(data: string): void {
    this.begin('R');
    this.writeInt32(AUTHENTICATION_SASL_FINAL);
    this.writeText(data);
    this.end();
  }

  writeBackendKeyData(processId: number, secretKey: number): void {
    this.begin('K');
    this.writeInt32(processId);
    this.writeInt32(secretKey);
    this.end();
  }

  writeParameterStatus(name: string, value: string): void {
    this.begin('S');
    this.writeCString(name);
    this.writeCString(value);
    this.end();
  }

  writeNotification(processId: number, channel: string, payload: string): void {
    this.begin('A');
    this.writeInt32(processId);
    this.writeCString(channel);
    this.writeCString(payload);
    this.end();
  }

  writeReadyForQuery(status: ReadyStatus): void {
    this.begin('Z');
    this.writeText(status);
    this.end();
  }

  writeCommandComplete(tag: string): void {
    this.begin('C');
    this.writeCString(tag);
    this.end();
  }

  writeEmptyQueryResponse(): void {
    this.writeEmptyMessage('I');
  }

  writeParseComplete(): void {
    this.writeEmptyMessage('1');
  }

  writeBindComplete(): void {
    this.writeEmptyMessage('2');
  }

  writeCloseComplete(): void {
    this.writeEmptyMessage('3');
  }

  writeNoData(): void {
    this.writeEmptyMessage('n');
  }

  writePortalSuspended(): void {
    this.writeEmptyMessage('s');
  }

  writeParameterDescription(types: readonly SqlType[]): void {
    this.begin('t');
    this.writeInt16(types.length);
    for (const type of types) {
      this.writeInt32(getTypeOid(type));
    }
    this.end();
  }

  writeRowDescription(fields: readonly FieldDescription[]): void {
    this.begin('T');
    this.writeInt16(fields.length);
    for (const {name, type, format} of fields) {
      this.writeCString(name);
      this.writeInt32(0);
      this.writeInt16(0);
      this.writeInt32(getTypeOid(type));
      this.writeInt16(getTypeSize(type));
      this.writeInt32(-1);
      this.writeInt16(format === 'binary' ? 1 : 0);
    }
    this.end();
  }

  writeDataRow(row: Row, fields: readonly FieldDescription[]): void {
    this.begin('D');
    this.writeInt16(fields.length);
    for (let index = 0; index < fields.length; index++) {
      const value = row[index] ?? null;
      const field = fields[index];
      if (value === null || field === undefined) {
        this.writeInt32(-1);
      } else if (field.format === 'binary') {
        this.writeBytes(encodeBinaryValue(value, field.type));
      } else {
        this.writeSizedText(formatValue(value));
      }
    }
    this.end();
  }

  writeError(error: SqlError): void {
    this.begin('E');
    this.writeErrorField('S', error.severity);
    this.writeErrorField('V', error.severity);
    this.writeErrorField('C', error.sqlState);
    this.writeErrorField('M', error.message);
    this.writeByte(0);
    this.end();
  }

  private writeErrorField(code: string, text: string): void {
    this.writeText(code);
    this.writeCString(text.replaceAll('\0', ''));
  }

  private writeEmptyMessage(code: string): void {
    this.begin(code);
    this.end();
  }

  private begin(code: string): void {
    this.reserve(5);
    this.buffer[this.offset] = code.charCodeAt(0);
    this.messageStart = this.offset + 1;
    this.offset += 5;
  }

  private end(): void {
    const length = this.offset - this.messageStart;
    this.buffer.writeInt32BE(length, this.messageStart);
  }

  private reserve(size: number): void {
    const required = this.offset + size;
    if (required <= this.buffer.length) {
      return;
    }
    const capacity = Math.max(required, this.buffer.length * 2);
    const larger = Buffer.allocUnsafe(capacity);
    this.buffer.copy(larger, 0, 0, this.offset);
    this.buffer = larger;
  }

  private writeByte(value: number): void {
    this.reserve(1);
    this.buffer[this.offset++] = value;
  }

  private writeInt16(value: number): void {
    this.reserve(2);
    this.offset = this.buffer.writeInt16BE(value, this.offset);
  }

  private writeInt32(value: number): void {
    this.reserve(4);
    this.offset = this.buffer.writeInt32BE(value, this.offset);
  }

  private writeText(text: string): void {
    this.reserve(text.length * MAX_BYTES_PER_CHARACTER);
    this.offset += this.buffer.write(text, this.offset, 'utf8');
  }

  private writeCString(text: string): void {
    this.writeText(text);
    this.writeByte(0);
  }

  private writeSizedText(text: string): void {
    this.reserve(4 + text.length * MAX_BYTES_PER_CHARACTER);
    const sizeOffset = this.offset;
    const size = this.buffer.write(text, sizeOffset + 4, 'utf8');
    this.buffer.writeInt32BE(size, sizeOffset);
    this.offset = sizeOffset + 4 + size;
  }

  private writeBytes(bytes: Buffer): void {
    this.writeInt32(bytes.length);
    this.reserve(bytes.length);
    bytes.copy(this.buffer, this.offset);
    this.offset += bytes.length;
  }
}
