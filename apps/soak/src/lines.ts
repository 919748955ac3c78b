/** Splits incoming bytes into lines that end in CR LF. @internal */
export class LineSplitter {
  private rest = '';

  private constructor() {}

  static create(): LineSplitter {
    return new LineSplitter();
  }

  /** Returns the lines that a chunk completes. */
  read(chunk: Buffer): readonly string[] {
    const lines = (this.rest + chunk.toString('latin1')).split('\r\n');
    this.rest = lines.pop() ?? '';
    return lines;
  }
}

/** Splits off the first word. @internal */
export function splitWord(text: string): readonly [string, string] {
  const end = text.indexOf(' ');
  return end < 0 ? [text, ''] : [text.slice(0, end), text.slice(end + 1)];
}
