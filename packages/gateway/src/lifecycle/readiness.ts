/** Decides whether the load balancer should send new connections here. */

/** State that readiness depends on. @public */
export interface ReadinessInputs {
  readonly isStopping: boolean;
  readonly hasConfiguration: boolean;
  readonly groupCount: number;
  /** Groups whose primary is leased and reachable. */
  readonly groupsWithPrimary: number;
  /** Groups with at least one reachable server. */
  readonly groupsWithServer: number;
  /** Time since the process started. */
  readonly uptimeMs: number;
  /** Time for which no group has had a usable primary; 0 if one has. */
  readonly withoutPrimaryMs: number;
  /**
   * Whether no other proxy has responded to a relayed call recently. Calls are
   * relayed only while the store is unreachable; without relayed calls, this is
   * true as well.
   */
  readonly hasNoPeerResponse: boolean;
  /** Time for which every other availability zone has been unreachable. */
  readonly isolatedMs: number;
}

/** Whether the proxy is ready, and the reason. @public */
export interface Readiness {
  readonly isReady: boolean;
  readonly reason: string;
}

/**
 * Time after which a proxy without any primary is not ready, provided that no
 * other proxy responds.
 */
const MAX_WITHOUT_PRIMARY_MS = 1_000;

/**
 * Time for which every other availability zone may be unreachable before the
 * proxy is not ready.
 */
const MAX_ISOLATED_MS = 300;

/**
 * Time after the start from which a proxy that reaches any backend server is
 * ready, even if no group has a primary.
 */
const MAX_STARTUP_WAIT_MS = 3_000;

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
    inputs.groupsWithPrimary > 0 || inputs.uptimeMs >= MAX_STARTUP_WAIT_MS;
  if (!hasStarted) {
    return {isReady: false, reason: 'no primary is known yet'};
  }
  if (inputs.isolatedMs >= MAX_ISOLATED_MS) {
    return {
      isReady: false,
      reason: 'other availability zones are out of reach',
    };
  }
  // While other proxies respond to relayed calls, they may have no primary
  // either, and moving callers to them would not help.
  if (
    inputs.hasNoPeerResponse &&
    inputs.withoutPrimaryMs >= MAX_WITHOUT_PRIMARY_MS
  ) {
    return {isReady: false, reason: 'no primary can be used'};
  }
  return {isReady: true, reason: 'serving'};
}
