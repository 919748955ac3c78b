import * as z from 'zod';

/**
 * A place in the log of a database group: the term of the last record and its
 * position. Two places are compared by term first, because a replaced primary
 * can hold a longer log than its successor.
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

/** The place before the first log record. @public */
export const ORIGIN_POSITION: LogPosition = {term: 0, position: 0};

/**
 * Orders two places: negative when `left` comes first, zero when equal,
 * positive when `right` comes first.
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

/** Whether a log that ends at `held` contains all up to `floor`. @public */
export function isCovered(floor: LogPosition, held: LogPosition): boolean {
  return comparePositions(held, floor) >= 0;
}

/** The later of two places. @public */
export function getLaterPosition(
  left: LogPosition,
  right: LogPosition,
): LogPosition {
  return comparePositions(left, right) >= 0 ? left : right;
}

/** Writes a place as `term/position`, the form used on the wire. @public */
export function formatPosition(place: LogPosition): string {
  return `${place.term}/${place.position}`;
}

const POSITION_PATTERN = /^(\d{1,15})\/(\d{1,15})$/;

/** Reads `term/position`; null when the text has another form. @public */
export function parsePosition(text: string): LogPosition | null {
  const match = POSITION_PATTERN.exec(text);
  if (match === null) {
    return null;
  }
  return {term: Number(match[1]), position: Number(match[2])};
}
