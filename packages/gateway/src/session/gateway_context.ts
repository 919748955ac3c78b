import type {Clock} from '@filbertrun/base/clock.js';
import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import type {ConnectionIdentity} from '@filbertrun/pool/pool_types.js';
import type {
  DatabaseRoute,
  ServiceConfiguration,
} from '../configuration/service_configuration.js';
import type {Customer} from '../customer/customer.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import type {OperationPermit} from '../quota/operation_permit.js';
import type {OperationLimiter} from '../quota/operation_limiter.js';
import {chooseQueueWaitMs} from '../routing/choose_queue_wait.js';
import type {OperationExecutor} from './operation_executor.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';

/** What the sessions use of the gateway. @public */
export interface GatewayContext {
  readonly clock: Clock;
  readonly events: GatewayEventRecorder;
  readonly availabilityZone: AvailabilityZone;
  /** Identity of backend connections that belong to no customer. */
  readonly sharedIdentity: ConnectionIdentity;
  readonly limiter: OperationLimiter;
  readonly operations: OperationExecutor;
  getConfiguration(): ServiceConfiguration | null;
  /** Time since the configuration was confirmed to be current, if known. */
  getConfigurationAgeMs(): number | null;
  /**
   * Whether that time is at most the one within which a newer configuration must
   * be in force. If not, a database that is not known may have been added.
   */
  isConfigurationCurrent(): boolean;
  getGroup(databaseGroup: string): GroupRuntime | null;
  /**
   * Requests a freshness bound from other proxies, with a short timeout: a log
   * position and the time before which all acknowledged commits are at or before
   * it.
   */
  requestFreshnessBound(group: GroupRuntime): Promise<void>;
}

/** Context in which a statement is executed. @public */
export interface StatementContext {
  readonly gateway: GatewayContext;
  readonly route: DatabaseRoute;
  readonly group: GroupRuntime;
  /** Customer that the operation counts for, or null for none. */
  readonly customer: Customer | null;
  /** Identity of the backend connections that may run the statement. */
  readonly identity: ConnectionIdentity;
  /** Permit of the operation that the statement belongs to. */
  readonly permit: OperationPermit;
  readonly configurationVersion: number;
  readonly requestId: string;
  readonly receivedAtMs: number;
  /** Monotonic time at which the statement times out. */
  readonly deadlineMs: number;
  /** Aborted when nobody waits for the statement any more; absent for none. */
  readonly signal?: AbortSignal | undefined;
}

/** Time left until a statement's deadline; negative after it. @public */
export function getRemainingMs(context: StatementContext): number {
  return context.deadlineMs - context.gateway.clock.nowMs();
}

/** Monotonic time until which a statement may wait for a connection. @public */
export function getQueueDeadlineMs(context: StatementContext): number {
  const nowMs = context.gateway.clock.nowMs();
  const {targetLatencyMs} = context.route;
  const availableMs = context.deadlineMs - nowMs;
  return nowMs + chooseQueueWaitMs({targetLatencyMs, availableMs});
}

/** Work of a statement at a backend server, apart from its consistency. @public */
export type StatementWork = 'read' | 'write' | 'begin';

/**
 * Kind of work by which a connection pool compares latencies. Routes of the same
 * consistency have similar statements, and a configuration may have thousands of
 * routes.
 *
 * @public
 */
export function getWorkKind(
  {route}: StatementContext,
  work: StatementWork,
): string {
  return `${route.consistency} ${work}`;
}
