import type {CallerError} from '@filbertrun/model/outcome.js';
import type {RouteInputs} from '../observability/gateway_event.js';
import type {StatementContext} from './gateway_context.js';

/** Log events about single statements, as reads and writes share them. */

/** What decided where a statement goes. @public */
export function describeRouteInputs(context: StatementContext): RouteInputs {
  const {route, group, configurationVersion} = context;
  return {
    databaseGroup: group.databaseGroup,
    consistency: route.consistency,
    configurationVersion,
    leasedTerm: group.lease.getPrimary()?.term ?? null,
    requiredPosition: null,
    requiredPositionAgeMs: null,
  };
}

/** Records that a statement was refused without having been run. @public */
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
