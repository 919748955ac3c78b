import type {Configuration} from '@filbertrun/model/configuration.js';
import {applyChange} from './apply_change.js';
import {computeObjectName, encodeBody} from './configuration_body.js';
import type {ConfigurationPointer} from './configuration_pointer.js';

/**
 * Creates a newer version from the held one by applying the changes listed in
 * the pointer. This avoids downloading the whole configuration for a small
 * change.
 *
 * @public
 */

/**
 * Returns the configuration of `pointer`. Returns null if the list of changes
 * is incomplete or the result has another hash; it must then be downloaded.
 *
 * @public
 */
export function rebuildConfiguration(
  held: Configuration,
  pointer: ConfigurationPointer,
): Configuration | null {
  let configuration = held;
  for (const recorded of pointer.changes) {
    if (recorded.version <= held.version) {
      continue;
    }
    const isNext = recorded.version === configuration.version + 1;
    if (!isNext || recorded.change === null) {
      return null;
    }
    const applied = applyChange(configuration, recorded.change);
    if (!applied.ok) {
      return null;
    }
    configuration = applied.value;
  }
  const objectName = computeObjectName(encodeBody(configuration));
  return objectName === pointer.objectName ? configuration : null;
}
