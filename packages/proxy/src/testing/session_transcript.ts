import type pg from 'pg';

/**
 * Records the statements of sessions and their results as text for golden
 * files.
 *
 * @internal
 */
export class SessionTranscript {
  private readonly lines: string[] = [];

  private constructor() {}

  static create(): SessionTranscript {
    return new SessionTranscript();
  }

  addNote(text: string): void {
    this.lines.push(`-- ${text}`);
  }

  /** Runs a statement and records it with its result. */
  async run(name: string, client: pg.Client, sql: string): Promise<void> {
    this.lines.push(`${name} > ${sql}`);
    try {
      const result = await client.query(sql);
      for (const row of result.rows as readonly object[]) {
        this.lines.push(`${name} <   ${JSON.stringify(row)}`);
      }
      this.lines.push(`${name} < ${result.command}`);
    } catch (error) {
      const {code, message, hint} = error as pg.DatabaseError;
      const suffix = hint === undefined ? '' : ` [${hint}]`;
      this.lines.push(`${name} < ERROR ${code}: ${message}${suffix}`);
    }
  }

  getText(): string {
    return `${this.lines.join('\n')}\n`;
  }
}
