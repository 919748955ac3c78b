import type {Configuration} from '@filbertrun/model/configuration.js';
import {applyChange} from './apply_change.js';
import {computeObjectName, encodeBody} from './configuration_body.js';
import type {ConfigurationPointer} from './configuration_pointer.js';

/**
 * Makes a newer version from a held one by the changes that the pointer lists,
 * so that a small change costs no transfer of the whole configuration.
 *
 * @public
 */

/**
 * Gives the configuration that `pointer` names, or null when the list of
 * changes has a gap or yields another hash; it must be fetched then.
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
