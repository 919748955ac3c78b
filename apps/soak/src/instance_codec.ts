import {splitWord} from './lines.js';

/** Codec of the line protocol, as the stand-in of an instance speaks it. */

/** A message of a proxy. @internal */
export type InstanceMessage =
  | {
      readonly kind: 'connect';
      readonly databaseGroup: string;
      readonly sender: string;
      readonly expectedId: string | null;
    }
  | {
      readonly kind: 'statement';
      readonly id: string;
      readonly after: readonly [number, number] | null;
      readonly statement: InstanceStatement;
    }
  | {readonly kind: 'other'};

/** A statement of a caller or a command of a proxy. @internal */
export type InstanceStatement =
  | {readonly kind: 'read'; readonly item: string}
  | {readonly kind: 'write'; readonly item: string; readonly value: number}
  | {
      readonly kind: 'status' | 'pause' | 'resume' | 'stepDown';
      readonly term: number;
    }
  | {readonly kind: 'local'}
  | {readonly kind: 'unsupported'};

/** Parses a line. @internal */
export function parseInstanceMessage(line: string): InstanceMessage {
  const [word, rest] = splitWord(line);
  const fields = rest.split(' ');
  if (word === 'CONNECT') {
    const [databaseGroup = '', sender = '', expectedId = null] = fields;
    return {kind: 'connect', databaseGroup, sender, expectedId};
  }
  if (word !== 'QUERY') {
    return {kind: 'other'};
  }
  const [id, text] = splitWord(rest);
  const [first, afterFirst] = splitWord(text);
  if (first !== 'AFTERLSN') {
    return {
      kind: 'statement',
      id,
      after: null,
      statement: parseStatement(text),
    };
  }
  const [position, statementText] = splitWord(afterFirst);
  const [term = 0, count = 0] = position.split('.').map(Number);
  const statement = parseStatement(statementText);
  return {kind: 'statement', id, after: [term, count], statement};
}

function parseStatement(text: string): InstanceStatement {
  const [word, rest] = splitWord(text);
  switch (word) {
    case 'READ':
      return {kind: 'read', item: rest};
    case 'WRITE': {
      const [item, value] = splitWord(rest);
      return {kind: 'write', item, value: Number(value)};
    }
    case 'STATUS':
      return {kind: 'status', term: 0};
    case 'PAUSE':
      return {kind: 'pause', term: Number(rest)};
    case 'RESUME':
      return {kind: 'resume', term: 0};
    case 'STEPDOWN':
      return {kind: 'stepDown', term: Number(rest)};
    case 'RESET':
    case 'ROLLBACK':
      return {kind: 'local'};
    default:
      return {kind: 'unsupported'};
  }
}

/** A position on the wire. @internal */
export function formatPosition(term: number, count: number): string {
  return `${term}.${count}`;
}

/** Formats lines. @internal */
export function formatLines(lines: readonly string[]): Buffer {
  return Buffer.from(`${lines.join('\r\n')}\r\n`, 'latin1');
}

/** Formats the end of a response. @internal */
export function formatReady(position: string): string {
  return `READY I ${position}`;
}

/** Formats a success. @internal */
export function formatComplete(signature: string): string {
  return `COMPLETE ${signature}`;
}

/** Formats an error. @internal */
export function formatError(
  code: 'MOVED' | 'LAGGING' | 'READONLY' | 'TIMEOUT' | 'MALFORMED',
  text: string,
): string {
  return `ERROR ${code} ${text}`;
}

/** Formats a row. @internal */
export function formatResultRow(text: string): string {
  return `ROW ${text}`;
}

/** Formats a status. @internal */
export function formatStatus(status: {
  readonly role: string;
  readonly term: number;
  readonly position: string;
  readonly pausedTerm: number;
  readonly connections: number;
}): string {
  const {role, term, position, pausedTerm, connections} = status;
  return `ROW ${role} ${term} ${position} ${pausedTerm} 0 0 ${connections}`;
}
