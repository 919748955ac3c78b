import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';

/**
 * Decides how long an unused connection is kept. The load that it answers: all
 * proxies lose power at once, and their old connections count at the instances
 * for seconds. In a large deployment one of each proxy at each instance leaves
 * no room for the new ones, so a proxy keeps them where it belongs: at the
 * primaries and the instances of its availability zone.
 */

/** Time after which an unused connection is closed. @public */
export const IDLE_TIMEOUT_MS = 3_000;

/** The same at an instance that the proxy uses only while others can't serve it. */
const GUEST_IDLE_TIMEOUT_MS = 500;

/** What the decision depends on. @public */
export interface IdleTimeoutInputs {
  readonly ownZone: AvailabilityZone;
  readonly instanceZone: AvailabilityZone;
  readonly isPrimary: boolean;
  /** Zones of all instances of the database group. */
  readonly groupZones: readonly AvailabilityZone[];
}

/** Time after which an unused connection to an instance is closed. @public */
export function chooseIdleTimeoutMs(inputs: IdleTimeoutInputs): number {
  const {ownZone, instanceZone, isPrimary, groupZones} = inputs;
  const isHome =
    isPrimary || instanceZone === ownZone || !groupZones.includes(ownZone);
  return isHome ? IDLE_TIMEOUT_MS : GUEST_IDLE_TIMEOUT_MS;
}
