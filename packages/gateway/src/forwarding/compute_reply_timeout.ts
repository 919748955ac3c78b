import {
  getRemainingMs,
  type StatementContext,
} from '../session/gateway_context.js';

/**
 * Time beyond the deadline of a statement for which a follower waits for the
 * holder, which reports the timeout itself.
 */
const REPLY_SLACK_MS = 50;

/** Returns how long a follower waits for the reply to a statement. @internal */
export function computeReplyTimeoutMs(context: StatementContext): number {
  return Math.max(0, getRemainingMs(context)) + REPLY_SLACK_MS;
}
