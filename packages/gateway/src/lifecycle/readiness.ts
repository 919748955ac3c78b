/** Decides whether the balancer should send new connections to this proxy. */

/** What readiness depends on. @public */
export interface ReadinessInputs {
  readonly isStopping: boolean;
  readonly hasConfiguration: boolean;
  readonly groupCount: number;
  /** Groups with a primary under a lease and a connection to it that works. */
  readonly groupsWithPrimary: number;
  /** Groups of which any server can be used. */
  readonly groupsWithServer: number;
  /** Time since the start of the process. */
  readonly upMs: number;
  /** Time for which no group has had a primary; 0 when one has. */
  readonly withoutPrimaryMs: number;
  /** Whether no other proxy has answered while the store was out of reach. */
  readonly isAlone: boolean;
  /** Time for which every other availability zone has been out of reach. */
  readonly cutOffMs: number;
}

/** Whether the proxy is ready, and why. @public */
export interface Readiness {
  readonly isReady: boolean;
  readonly reason: string;
}

/** Time after which a proxy without any primary asks for no new callers. */
const MAX_WITHOUT_PRIMARY_MS = 1_000;

/** Time for which every other availability zone may be out of reach. */
const MAX_CUT_OFF_MS = 300;

/** Time after the start from which a proxy that can serve anything takes callers. */
const MAX_START_WAIT_MS = 3_000;

/** Decides readiness. @public */
export function decideReadiness(inputs: ReadinessInputs): Readiness {
  if (inputs.isStopping) {
    return {isReady: false, reason: 'stopping'};
  }
  if (!inputs.hasConfiguration) {
    return {isReady: false, reason: 'no configuration'};
  }
  if (inputs.groupCount === 0) {
    return {isReady: true, reason: 'no database groups are configured'};
  }
  if (inputs.groupsWithServer === 0) {
    return {isReady: false, reason: 'no backend server can be used'};
  }
  const hasStarted =
    inputs.groupsWithPrimary > 0 || inputs.upMs >= MAX_START_WAIT_MS;
  if (!hasStarted) {
    return {isReady: false, reason: 'no primary is known yet'};
  }
  if (inputs.cutOffMs >= MAX_CUT_OFF_MS) {
    return {
      isReady: false,
      reason: 'other availability zones are out of reach',
    };
  }
  // Where the others have no primary either, sending callers away helps nobody.
  if (inputs.isAlone && inputs.withoutPrimaryMs >= MAX_WITHOUT_PRIMARY_MS) {
    return {isReady: false, reason: 'no primary can be used'};
  }
  return {isReady: true, reason: 'serving'};
}
