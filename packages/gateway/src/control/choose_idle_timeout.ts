import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';

/**
 * Chooses the idle timeout of pooled connections. When all proxies lose power
 * at once, their old connections count against the connection limit of each
 * instance for several seconds. In a large deployment, one idle connection per
 * proxy at every instance would leave no capacity for the reconnecting proxies.
 * A proxy therefore keeps idle connections for the default time only to
 * primaries and to instances in its local availability zone, or to all
 * instances of a group that has none in that zone. Other idle connections are
 * closed sooner.
 */

/** Default idle timeout of a connection. @public */
export const IDLE_TIMEOUT_MS = 3_000;

/**
 * Idle timeout with shared access, at all instances. Each new connection
 * occupies a slot of the instance for 12 ms, and few proxies hold connections,
 * so that the connections orphaned by a power loss are bounded by their shares.
 *
 * @public
 */
export const IDLE_TIMEOUT_SHARED_MS = 30_000;

/** Idle timeout at instances that serve this proxy only as a fallback. */
const FALLBACK_IDLE_TIMEOUT_MS = 500;

/** Inputs of {@link chooseIdleTimeoutMs}. @public */
export interface IdleTimeoutInputs {
  readonly localZone: AvailabilityZone;
  readonly instanceZone: AvailabilityZone;
  readonly isPrimary: boolean;
  /** Zones of all instances of the database group. */
  readonly groupZones: readonly AvailabilityZone[];
}

/** Returns the idle timeout of connections to an instance. @public */
export function chooseIdleTimeoutMs(inputs: IdleTimeoutInputs): number {
  const {localZone, instanceZone, isPrimary, groupZones} = inputs;
  const isPreferred =
    isPrimary || instanceZone === localZone || !groupZones.includes(localZone);
  return isPreferred ? IDLE_TIMEOUT_MS : FALLBACK_IDLE_TIMEOUT_MS;
}

/**
 * Returns the idle timeout with shared access. A proxy that is not the holder
 * opens a connection only while it can use no holder.
 *
 * @public
 */
export function chooseSharedIdleTimeoutMs(isHolder: boolean): number {
  return isHolder ? IDLE_TIMEOUT_SHARED_MS : FALLBACK_IDLE_TIMEOUT_MS;
}
