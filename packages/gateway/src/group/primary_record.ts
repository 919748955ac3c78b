import {logPositionSchema} from '@filbertrun/model/log_position.js';
import * as z from 'zod';

/**
 * Record of a database group's primary in the platform's control table. The
 * failover leader writes it with a compare-and-set on the revision that it has
 * read. Other proxies write it only to restore a lost record.
 */

/** Returns the key of the primary record of a database group. @public */
export function getPrimaryRecordKey(databaseGroup: string): string {
  return `${PRIMARY_RECORD_PREFIX}${databaseGroup}`;
}

/** Prefix of the keys of all primary records. @public */
export const PRIMARY_RECORD_PREFIX = 'primary/';

/** Validates a primary record. @public */
export const primaryRecordSchema = z.discriminatedUnion('phase', [
  z
    .object({
      phase: z.literal('stable'),
      databaseGroup: z.string().min(1),
      primary: z.string().min(1),
      term: z.number().int().nonnegative(),
      /**
       * Time on the store's clock before which no writes may be sent. Until
       * then, a proxy that could not be asked to release its lease may still
       * read from the old primary.
       */
      writesFromStoreMs: z.number().nullable(),
    })
    .readonly(),
  z
    .object({
      /**
       * A change is in progress: no new writes at the old primary, and no strict
       * reads, which must see every acknowledged commit.
       */
      phase: z.literal('changing'),
      databaseGroup: z.string().min(1),
      changeId: z.string().min(1),
      oldPrimary: z.string().min(1),
      oldTerm: z.number().int().nonnegative(),
      /** The instance to be promoted; null until it has been chosen. */
      target: z.string().nullable(),
      /**
       * All acknowledged commits of the old term are at or before this
       * position.
       */
      lastOldPosition: logPositionSchema.nullable(),
    })
    .readonly(),
]);

/** The record of a database group's primary. @public */
export type PrimaryRecord = z.infer<typeof primaryRecordSchema>;

/** Progress values reserved for the steps of a change in one term. */
const STEPS_PER_TERM = 4;

/**
 * Returns a number that orders the records of one group by term and then by the
 * step of a change. It does not depend on revisions, because the store may lose
 * changes when it is restored.
 *
 * @public
 */
export function getRecordProgress(record: PrimaryRecord): number {
  if (record.phase === 'stable') {
    return record.term * STEPS_PER_TERM;
  }
  const step = record.target === null ? 1 : 2;
  return record.oldTerm * STEPS_PER_TERM + step;
}

/** A primary record with its revision in the control table. @public */
export interface RevisedPrimaryRecord {
  readonly record: PrimaryRecord;
  readonly revision: number;
}
