import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import {comparePositions} from '@filbertrun/model/log_position.js';
import {
  adoptView,
  backOff,
  createStep,
  type FailoverContext,
  type FailoverStep,
} from './failover_step.js';
import type {FailoverCommand, FailoverEvent} from './failover_messages.js';
import type {FailoverPhase, FailoverState} from './failover_state.js';
import type {InstanceStatus} from './instance_control.js';

/**
 * The fencing and promotion steps of a change of primary.
 */

/**
 * Time from the start of fencing for which responses beyond a majority are
 * awaited.
 */
const REMAINING_INSTANCES_TIMEOUT_MS = 150;

type FencingPhase = Extract<FailoverPhase, {kind: 'fencing'}>;
type PromotingPhase = Extract<FailoverPhase, {kind: 'promoting'}>;

/** Handles the response of one instance to `raiseTerm`. @internal */
export function handleTermRaised(
  state: FailoverState,
  event: Extract<FailoverEvent, {kind: 'termRaised'}>,
  context: FailoverContext,
): FailoverStep {
  const phase = state.phase;
  if (event.attempt !== state.attempt || phase.kind !== 'fencing') {
    return createStep(state);
  }
  if (!event.result.ok && event.result.error.kind === 'rejected') {
    return createStep(backOff(state, context));
  }
  const next: FencingPhase = {
    ...phase,
    respondedCount: phase.respondedCount + 1,
    raised: event.result.ok
      ? [...phase.raised, event.result.value]
      : phase.raised,
  };
  if (!isReadyToPromote(next, state, context)) {
    return createStep({...state, phase: next});
  }
  return beginPromotion({...state, phase: next}, next, context);
}

/** Handles the response of the instance to `promote`. @internal */
export function handlePromoted(
  state: FailoverState,
  event: Extract<FailoverEvent, {kind: 'promoted'}>,
  context: FailoverContext,
): FailoverStep {
  const phase = state.phase;
  if (event.attempt !== state.attempt || phase.kind !== 'promoting') {
    return createStep(state);
  }
  if (!event.result.ok) {
    return handleFailedPromotion(state, phase, context);
  }
  return finishChange(state, phase, context);
}

/**
 * Begins the promotion without the remaining instances when
 * `REMAINING_INSTANCES_TIMEOUT_MS` has elapsed.
 *
 * @internal
 */
export function handleFencingTick(
  state: FailoverState,
  phase: FencingPhase,
  context: FailoverContext,
): FailoverStep {
  return isReadyToPromote(phase, state, context)
    ? beginPromotion(state, phase, context)
    : createStep(state);
}

function isReadyToPromote(
  phase: FencingPhase,
  state: FailoverState,
  context: FailoverContext,
): boolean {
  const size = state.servers.length;
  if (!context.rules.isFenced(phase.raised.length, size)) {
    return false;
  }
  const isWaitOver =
    phase.respondedCount === size ||
    context.nowMs - phase.sinceMs >= REMAINING_INSTANCES_TIMEOUT_MS;
  if (isWaitOver) {
    return true;
  }
  if (phase.reason.kind === 'failover') {
    return context.rules.isFenced(getPromotionCandidates(phase).length, size);
  }
  // A planned change waits for its target until the limit.
  const target = phase.reason.target;
  return phase.raised.some(status => status.backendServer === target);
}

/** The fenced instances except the primary that is to be replaced. */
function getPromotionCandidates(
  phase: FencingPhase,
): readonly InstanceStatus[] {
  return phase.raised.filter(status => status.backendServer !== phase.replaced);
}

function beginPromotion(
  state: FailoverState,
  phase: FencingPhase,
  context: FailoverContext,
): FailoverStep {
  const best = chooseTarget(state, phase, context);
  if (best === null) {
    return createStep(backOff(state, context));
  }
  return promote(state, {
    kind: 'promoting',
    sinceMs: context.nowMs,
    term: phase.term,
    claimId: phase.claimId,
    target: best.backendServer,
    raised: phase.raised,
  });
}

/**
 * Chooses the fenced instance with the last log position. A planned change
 * prefers its target among instances with the same position.
 */
function chooseTarget(
  state: FailoverState,
  phase: FencingPhase,
  context: FailoverContext,
): InstanceStatus | null {
  if (phase.reason.kind === 'failover') {
    return chooseFailoverTarget(state, phase, context);
  }
  const best = context.rules.chooseTarget(phase.raised);
  const {target} = phase.reason;
  for (const status of phase.raised) {
    const isEqual =
      best !== null && comparePositions(status.position, best.position) === 0;
    if (isEqual && status.backendServer === target) {
      return status;
    }
  }
  return best;
}

/**
 * Excludes the failed primary if the other fenced instances are a majority by
 * themselves. Otherwise it could be chosen again: it may still respond to this
 * proxy, and its log is the longest.
 */
function chooseFailoverTarget(
  state: FailoverState,
  phase: FencingPhase,
  context: FailoverContext,
): InstanceStatus | null {
  const candidates = getPromotionCandidates(phase);
  const isMajority = context.rules.isFenced(
    candidates.length,
    state.servers.length,
  );
  if (isMajority) {
    return context.rules.chooseTarget(candidates);
  }
  const replaced = phase.raised.filter(status => !candidates.includes(status));
  return context.rules.chooseTarget([...candidates, ...replaced]);
}

function promote(state: FailoverState, phase: PromotingPhase): FailoverStep {
  return createStep({...state, phase}, [
    {
      kind: 'promote',
      attempt: state.attempt,
      backendServer: phase.target,
      term: phase.term,
      claimId: phase.claimId,
    },
  ]);
}

function handleFailedPromotion(
  state: FailoverState,
  phase: PromotingPhase,
  context: FailoverContext,
): FailoverStep {
  if (!context.rules.mayPromoteAgainInTerm()) {
    return createStep(backOff(state, context));
  }
  const others = phase.raised.filter(
    status => status.backendServer !== phase.target,
  );
  const next = context.rules.chooseTarget(others);
  return next === null
    ? createStep(backOff(state, context))
    : promote(state, {...phase, target: next.backendServer});
}

function finishChange(
  state: FailoverState,
  phase: PromotingPhase,
  context: FailoverContext,
): FailoverStep {
  const view = {
    databaseGroup: state.databaseGroup,
    term: phase.term,
    claimId: phase.claimId,
    primary: phase.target,
  };
  const adopted = adoptView(state, view, context.rules);
  const commands: FailoverCommand[] = [
    {kind: 'announce', view},
    ...createFollowCommands(state.servers, phase),
    {
      kind: 'publishClaim',
      claim: {
        term: phase.term,
        claimId: phase.claimId,
        primary: phase.target,
      },
    },
  ];
  return createStep({...adopted, phase: {kind: 'watching'}}, commands);
}

function createFollowCommands(
  servers: readonly BackendServerId[],
  phase: PromotingPhase,
): readonly FailoverCommand[] {
  const commands: FailoverCommand[] = [];
  for (const backendServer of servers) {
    if (backendServer !== phase.target) {
      commands.push({
        kind: 'follow',
        backendServer,
        term: phase.term,
        claimId: phase.claimId,
        primary: phase.target,
      });
    }
  }
  return commands;
}
