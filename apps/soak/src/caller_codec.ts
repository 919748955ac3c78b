import {splitWord} from './lines.js';

/** Codec of the line protocol, as a caller speaks it. */

/** What became of a statement. @internal */
export type CallerAnswer =
  | {readonly kind: 'complete'; readonly rowText: string | null}
  /** The code of the error. */
  | {readonly kind: 'error'; readonly code: string}
  /** The connection was closed, or no answer came in time. */
  | {readonly kind: 'none'};

/** Codes that promise that nothing of a statement is kept. @internal */
export const PROMISE_CODES: ReadonlySet<string> = new Set([
  'BUSY',
  'ABORTED',
  'LAGGING',
  'READONLY',
  'MOVED',
  'MAXCONN',
]);

/** Formats the opening of a session. @internal */
export function formatCallerConnect(database: string, caller: string): string {
  return `CONNECT ${database} ${caller}\r\n`;
}

/** Formats a write. @internal */
export function formatWrite(id: string, item: string, value: number): string {
  return `QUERY ${id} WRITE ${item} ${value}\r\n`;
}

/** Formats a read. @internal */
export function formatRead(id: string, item: string): string {
  return `QUERY ${id} READ ${item}\r\n`;
}

/** Whether a line ends an answer. @internal */
export function endsAnswer(line: string): boolean {
  return line.startsWith('READY');
}

/** Parses the lines of an answer. @internal */
export function parseAnswer(lines: readonly string[]): CallerAnswer {
  let rowText: string | null = null;
  for (const line of lines) {
    const [word, rest] = splitWord(line);
    if (word === 'ROW') {
      rowText = rest;
    }
    if (word === 'ERROR') {
      return {kind: 'error', code: splitWord(rest)[0]};
    }
  }
  return {kind: 'complete', rowText};
}
