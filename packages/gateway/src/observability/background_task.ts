import {describeTaskFailure} from '@filbertrun/observability/background_task.js';
import type {GatewayEventRecorder} from './gateway_event_recorder.js';

/**
 * Background tasks: asynchronous work that nobody waits for. Expected failures
 * are results. An unexpected one, such as an error that a dependency throws, is
 * recorded here, because an unhandled rejection would end the process.
 */

/**
 * Leaves a task to itself and records its rejection.
 *
 * @public
 */
export function runInBackground(
  events: GatewayEventRecorder,
  task: string,
  promise: Promise<unknown>,
): void {
  promise.catch((error: unknown) => recordTaskFailure(events, task, error));
}

/** Records that a task has failed unexpectedly. @public */
export function recordTaskFailure(
  events: GatewayEventRecorder,
  task: string,
  error: unknown,
): void {
  events.record({kind: 'taskFailed', task, reason: describeTaskFailure(error)});
}
