import {createHash} from 'node:crypto';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';

/**
 * Computes a digest of the revisions of primary records. Proxies that know the
 * same revisions compute the same digest.
 *
 * @public
 */
export function computeRecordDigest(
  revisions: ReadonlyMap<DatabaseGroupName, number>,
): string {
  const hash = createHash('sha256');
  for (const databaseGroup of [...revisions.keys()].sort()) {
    hash.update(`${databaseGroup} ${revisions.get(databaseGroup) ?? 0}\n`);
  }
  return hash.digest('base64');
}
