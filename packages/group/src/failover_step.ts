import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import type {FailoverCommand} from './failover_messages.js';
import type {FailoverState} from './failover_state.js';
import type {GroupView} from './group_peers.js';
import type {GroupRules} from './group_rules.js';

/**
 * Types and functions shared by the steps of the failover core.
 */

/** Shortest and longest pause after a failed attempt. */
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 400;

/** The next state and the commands to execute. @public */
export interface FailoverStep {
  readonly state: FailoverState;
  readonly commands: readonly FailoverCommand[];
}

/** Context of an event: time, randomness and rules. @public */
export interface FailoverContext {
  readonly nowMs: number;
  readonly random: RandomSource;
  readonly rules: GroupRules;
  readonly localZone: AvailabilityZone;
}

/**
 * Adopts a view of a later term. If the known view has no claim id, one of the
 * same term replaces it too.
 *
 * @internal
 */
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

/** Ends an attempt and waits for a random time before the next. @internal */
export function backOff(
  state: FailoverState,
  context: FailoverContext,
): FailoverState {
  const pauseMs = context.random.nextInteger(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
  return {
    ...state,
    phase: {kind: 'watching'},
    attempt: state.attempt + 1,
    suppressedUntilMs: context.nowMs + pauseMs,
  };
}

/** Creates a step, by default without commands. @internal */
export function createStep(
  state: FailoverState,
  commands: readonly FailoverCommand[] = [],
): FailoverStep {
  return {state, commands};
}
