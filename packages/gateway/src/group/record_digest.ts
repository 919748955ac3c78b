import {createHash} from 'node:crypto';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';

/**
 * Digest of the revisions of primary records, the same for proxies that know
 * the same ones.
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
