import {assign, setup, type SnapshotFrom} from 'xstate';

/**
 * Decides when the next connection attempt may start: at a fixed interval while
 * attempts succeed, after an exponential backoff with jitter when they fail.
 */

/** Intervals and backoff limits of connection attempts. @internal */
export interface ConnectPacingLimits {
  readonly connectIntervalMs: number;
  readonly minBackOffMs: number;
  readonly maxBackOffMs: number;
}

interface ConnectPacingContext extends ConnectPacingLimits {
  readonly nextAttemptMs: number;
  readonly consecutiveFailures: number;
}

type ConnectPacingEvent =
  | {readonly type: 'attemptStarted'; readonly nowMs: number}
  | {readonly type: 'attemptSucceeded'}
  | {
      readonly type: 'attemptFailed';
      readonly nowMs: number;
      /** Random number from 0 to 1. */
      readonly jitter: number;
    };

/** Smallest fraction of the backoff that remains after jitter. */
const MIN_JITTER_SHARE = 0.5;

/** State machine of the connection attempts to one backend server. @internal */
export const connectPacingMachine = setup({
  types: {
    context: {} as ConnectPacingContext,
    events: {} as ConnectPacingEvent,
    input: {} as ConnectPacingLimits,
  },
}).createMachine({
  id: 'connectPacing',
  initial: 'healthy',
  context: ({input}) => ({
    ...input,
    nextAttemptMs: Number.NEGATIVE_INFINITY,
    consecutiveFailures: 0,
  }),
  on: {
    attemptStarted: {
      actions: assign({
        nextAttemptMs: ({context, event}) =>
          event.nowMs + context.connectIntervalMs,
      }),
    },
    attemptFailed: {
      target: '.backingOff',
      actions: assign({
        consecutiveFailures: ({context}) => context.consecutiveFailures + 1,
        nextAttemptMs: ({context, event}) =>
          event.nowMs + getBackOffMs(context, event.jitter),
      }),
    },
    attemptSucceeded: {
      target: '.healthy',
      actions: assign({consecutiveFailures: 0}),
    },
  },
  states: {healthy: {}, backingOff: {}},
});

/** Snapshot of the state machine. @internal */
export type ConnectPacingSnapshot = SnapshotFrom<typeof connectPacingMachine>;

function getBackOffMs(context: ConnectPacingContext, jitter: number): number {
  const exponentialMs = context.minBackOffMs * 2 ** context.consecutiveFailures;
  const boundedMs = Math.min(context.maxBackOffMs, exponentialMs);
  return boundedMs * (MIN_JITTER_SHARE + (1 - MIN_JITTER_SHARE) * jitter);
}
