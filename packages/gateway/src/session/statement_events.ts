import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {RouteInputs} from '../observability/gateway_event.js';
import type {StatementContext} from './gateway_context.js';

/** Log events about statements, shared by reads and writes. */

/**
 * Returns the inputs of the routing decision for a statement, without a required
 * position, which depends on the attempt.
 *
 * @public
 */
export function describeRouteInputs(context: StatementContext): RouteInputs {
  const {route, group, customer, configurationVersion} = context;
  return {
    databaseGroup: group.databaseGroup,
    consistency: route.consistency,
    customer: customer?.name ?? null,
    configurationVersion,
    leasedTerm: group.lease.getPrimary()?.term ?? null,
    requiredPosition: null,
    requiredPositionAgeMs: null,
  };
}

/** Backend server and requirements of one attempt. @public */
export interface RoutedAttempt {
  readonly backendServer: BackendServerId;
  readonly role: 'primary' | 'replica';
  readonly attempt: number;
  /** Position that the server was required to have; null for none. */
  readonly requiredPosition: LogPosition | null;
  readonly requiredPositionAgeMs: number | null;
}

/** Records where a statement was sent and why. @public */
export function recordRouted(
  context: StatementContext,
  routed: RoutedAttempt,
): void {
  const {gateway, requestId} = context;
  const {requiredPosition, requiredPositionAgeMs} = routed;
  gateway.events.record({
    kind: 'statementRouted',
    requestId,
    ...routed,
    ...describeRouteInputs(context),
    requiredPosition,
    requiredPositionAgeMs,
  });
}

/**
 * Records that a write was acknowledged at a position. A commit has a request id
 * of its own, which no `statementRouted` names.
 *
 * @public
 */
export function recordWriteAcknowledged(
  {gateway, group, requestId}: StatementContext,
  backendServer: BackendServerId,
  position: LogPosition,
): void {
  gateway.events.record({
    kind: 'writeAcknowledged',
    requestId,
    databaseGroup: group.databaseGroup,
    backendServer,
    position,
  });
}

/** Records that a statement may have run but was not acknowledged. @public */
export function recordOutcomeUnknown(
  context: StatementContext,
  backendServer: string,
  reason: string,
): void {
  const {gateway, requestId} = context;
  gateway.events.record({
    kind: 'outcomeUnknown',
    requestId,
    backendServer,
    reason,
  });
}

/** Records that a statement was refused and not run. @public */
export function recordRefused(
  context: StatementContext,
  error: CallerError,
  reason: string,
): void {
  const {gateway, requestId, receivedAtMs} = context;
  gateway.events.record({
    kind: 'statementRefused',
    requestId,
    reason: `${error.kind}: ${reason}`,
    retryAfterMs: 'retryAfterMs' in error ? error.retryAfterMs : null,
    waitedMs: gateway.clock.nowMs() - receivedAtMs,
    ...describeRouteInputs(context),
  });
}
