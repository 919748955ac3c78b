/**
 * Reads the fields of a message body. Reading past the end marks the reader as
 * failed and returns zero or an empty value, so that it is enough to check
 * `hasFailed` once at the end.
 *
 * @public
 */
export class ByteReader {
  private failed = false;

  private constructor(
    private readonly buffer: Buffer,
    private offset: number,
    private readonly end: number,
  ) {}

  static create(buffer: Buffer, start: number, end: number): ByteReader {
    return new ByteReader(buffer, start, end);
  }

  hasFailed(): boolean {
    return this.failed;
  }

  getOffset(): number {
    return this.offset;
  }

  isAtEnd(): boolean {
    return this.offset >= this.end;
  }

  readByte(): number {
    if (!this.advance(1)) {
      return 0;
    }
    return this.buffer[this.offset - 1]!;
  }

  readInt16(): number {
    if (!this.advance(2)) {
      return 0;
    }
    return this.buffer.readInt16BE(this.offset - 2);
  }

  readInt32(): number {
    if (!this.advance(4)) {
      return 0;
    }
    return this.buffer.readInt32BE(this.offset - 4);
  }

  /** Reads zero-terminated UTF-8 text. */
  readText(): string {
    const terminator = this.buffer.indexOf(0, this.offset);
    if (terminator < 0 || terminator >= this.end) {
      this.failed = true;
      return '';
    }
    const text = this.buffer.toString('utf8', this.offset, terminator);
    this.offset = terminator + 1;
    return text;
  }

  /** Reads `length` bytes without copying them. */
  readBytes(length: number): Buffer {
    if (length < 0 || !this.advance(length)) {
      this.failed = true;
      return Buffer.alloc(0);
    }
    return this.buffer.subarray(this.offset - length, this.offset);
  }

  private advance(length: number): boolean {
    if (this.failed || this.offset + length > this.end) {
      this.failed = true;
      return false;
    }
    this.offset += length;
    return true;
  }
}
