import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import type {FailoverCommand} from './failover_messages.js';
import type {FailoverState} from './failover_state.js';
import type {GroupView} from './group_peers.js';
import type {GroupRules} from './group_rules.js';

/**
 * What the parts of the failover core share.
 */

/** Shortest and longest pause after an attempt that came to nothing. */
const BACKOFF_MINIMUM_MS = 100;
const BACKOFF_MAXIMUM_MS = 400;

/** The next state and what is to be done. @public */
export interface FailoverStep {
  readonly state: FailoverState;
  readonly commands: readonly FailoverCommand[];
}

/** What the core needs besides the event. @public */
export interface FailoverContext {
  readonly nowMs: number;
  readonly random: RandomSource;
  readonly rules: GroupRules;
  readonly localZone: AvailabilityZone;
}

/** Takes over a view if it is of a later term. @internal */
export function adoptView(
  state: FailoverState,
  view: GroupView,
  rules: GroupRules,
): FailoverState {
  const known = state.view;
  const completesClaim = known?.term === view.term && known.claimId === null;
  if (!completesClaim && !rules.isNewerView(view.term, known?.term ?? -1)) {
    return state;
  }
  return {
    ...state,
    view,
    highestTerm: Math.max(state.highestTerm, view.term),
    foreignClaim: null,
  };
}

/** Ends an attempt and pauses for a random time before the next. @internal */
export function backOff(
  state: FailoverState,
  context: FailoverContext,
): FailoverState {
  const pauseMs = context.random.nextInteger(
    BACKOFF_MINIMUM_MS,
    BACKOFF_MAXIMUM_MS,
  );
  return {
    ...state,
    phase: {kind: 'watching'},
    attempt: state.attempt + 1,
    suppressedUntilMs: context.nowMs + pauseMs,
  };
}

/** A step without commands. @internal */
export function createStep(
  state: FailoverState,
  commands: readonly FailoverCommand[] = [],
): FailoverStep {
  return {state, commands};
}
