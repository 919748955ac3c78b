import * as z from 'zod';

/**
 * A position in the log of a database group: the term and the index of a
 * record. Positions are compared by term first, because the log of a replaced
 * primary can be longer than that of its successor.
 *
 * @public
 */
export interface LogPosition {
  /** Term of the last log record, from 0. */
  readonly term: number;
  /** Position of the last log record, from 0. */
  readonly position: number;
}

/** Validates a log position received from another process. @public */
export const logPositionSchema = z
  .object({
    term: z.number().int().nonnegative(),
    position: z.number().int().nonnegative(),
  })
  .readonly();

/** The position before the first log record. @public */
export const ORIGIN_POSITION: LogPosition = {term: 0, position: 0};

/**
 * Compares two positions: negative if `left` is earlier, zero if they are
 * equal, positive if `right` is earlier.
 *
 * @public
 */
export function comparePositions(
  left: LogPosition,
  right: LogPosition,
): number {
  if (left.term !== right.term) {
    return left.term - right.term;
  }
  return left.position - right.position;
}

/**
 * Whether a log that ends at `held` covers `floor`, a minimum position: it
 * contains every record up to it.
 *
 * @public
 */
export function isCovered(floor: LogPosition, held: LogPosition): boolean {
  return comparePositions(held, floor) >= 0;
}

/** Returns the later of two positions. @public */
export function getLaterPosition(
  left: LogPosition,
  right: LogPosition,
): LogPosition {
  return comparePositions(left, right) >= 0 ? left : right;
}

/** Formats a position as `term/position`, the form on the wire. @public */
export function formatPosition(position: LogPosition): string {
  return `${position.term}/${position.position}`;
}

const POSITION_PATTERN = /^(\d{1,15})\/(\d{1,15})$/;

/** Parses `term/position`; returns null if the text is malformed. @public */
export function parsePosition(text: string): LogPosition | null {
  const match = POSITION_PATTERN.exec(text);
  if (match === null) {
    return null;
  }
  return {term: Number(match[1]), position: Number(match[2])};
}
