import type {Logger} from './logger.js';

/**
 * Background tasks: asynchronous work that nobody waits for. Expected failures
 * are results. An unexpected one, such as an error that a dependency throws, is
 * logged, because an unhandled rejection would end the process.
 */

/** Maximum length of a logged reason, in characters. */
const MAX_REASON_LENGTH = 300;

/** Leaves a task to itself and logs its rejection as `task_failed`. @public */
export function runInBackground(
  logger: Logger,
  task: string,
  promise: Promise<unknown>,
): void {
  promise.catch((error: unknown) => {
    logger.error('task_failed', {task, reason: describeTaskFailure(error)});
  });
}

/** Describes what a task was rejected with, in bounded length. @public */
export function describeTaskFailure(error: unknown): string {
  const reason = error instanceof Error ? error.message : String(error);
  return reason.slice(0, MAX_REASON_LENGTH);
}
