import {logPositionSchema} from '@filbertrun/model/log_position.js';
import * as z from 'zod';

/**
 * The record of a database group's primary in the platform's table. Only the
 * holder of the failover duty writes it, each time under the condition of the
 * revision that it read.
 */

/** Key of the record of a database group. @public */
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
       * Time on the store's clock before which nothing may be written: until
       * then a proxy that could not be asked may still read at the old primary.
       */
      writesFromStoreMs: z.number().nullable(),
    })
    .readonly(),
  z
    .object({
      /** A change is intended: no strict read and no new write at the old primary. */
      phase: z.literal('changing'),
      databaseGroup: z.string().min(1),
      changeId: z.string().min(1),
      oldPrimary: z.string().min(1),
      oldTerm: z.number().int().nonnegative(),
      /** The instance that is being promoted, once chosen. */
      target: z.string().nullable(),
      /** All acknowledged commits of the old term are at or before it. */
      lastOldPosition: logPositionSchema.nullable(),
    })
    .readonly(),
]);

/** The record of a database group's primary. @public */
export type PrimaryRecord = z.infer<typeof primaryRecordSchema>;

/** Steps of a change of primary, by which records of one term are ordered. */
const STEPS_PER_TERM = 4;

/**
 * Orders the records of one group by how far they have come, whatever the
 * store makes of their revisions: by term, then by the steps of a change.
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

/** A record with the revision of the table that holds it. @public */
export interface RevisedPrimaryRecord {
  readonly record: PrimaryRecord;
  readonly revision: number;
}
