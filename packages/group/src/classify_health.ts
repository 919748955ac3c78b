import type {Result} from '@filbertrun/base/result.js';
import type {InstanceHealth} from './group_peers.js';
import type {InstanceError, InstanceStatus} from './instance_control.js';

/**
 * Returns the health of an instance from the result of a poll. An instance that
 * responds with an error is alive, so it is no evidence for a failover.
 *
 * @internal
 */
export function classifyHealth(
  result: Result<InstanceStatus, InstanceError>,
): InstanceHealth {
  if (result.ok) {
    return 'healthy';
  }
  switch (result.error.kind) {
    case 'timedOut':
      return 'silent';
    case 'unreachable':
      return 'refused';
    case 'failed':
    case 'rejected':
      return 'healthy';
  }
}
