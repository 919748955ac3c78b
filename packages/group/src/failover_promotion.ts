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
 * The fence and promotion steps of a change of primary.
 */

type FencingPhase = Extract<FailoverPhase, {kind: 'fencing'}>;
type PromotingPhase = Extract<FailoverPhase, {kind: 'promoting'}>;

/** Takes the answer of one instance to the raised term. @internal */
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
    answeredCount: phase.answeredCount + 1,
    raised: event.result.ok
      ? [...phase.raised, event.result.value]
      : phase.raised,
  };
  if (!isReadyToPromote(next, state, context)) {
    return createStep({...state, phase: next});
  }
  return beginPromotion({...state, phase: next}, next, context);
}

/** Takes the answer of the instance that was to be promoted. @internal */
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
    return handleLostPromotion(state, phase, context);
  }
  return finishChange(state, phase, context);
}

function isReadyToPromote(
  phase: FencingPhase,
  state: FailoverState,
  context: FailoverContext,
): boolean {
  if (!context.rules.isFenced(phase.raised.length, state.servers.length)) {
    return false;
  }
  if (phase.reason.kind === 'failover') {
    return true;
  }
  // A planned change has its target among the raised instances if it can.
  const target = phase.reason.target;
  return (
    phase.answeredCount === state.servers.length ||
    phase.raised.some(status => status.backendServer === target)
  );
}

function beginPromotion(
  state: FailoverState,
  phase: FencingPhase,
  context: FailoverContext,
): FailoverStep {
  const best = chooseTarget(phase, context);
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

/** The last log wins; a planned change prefers its target among equals. */
function chooseTarget(
  phase: FencingPhase,
  context: FailoverContext,
): InstanceStatus | null {
  const best = context.rules.chooseTarget(phase.raised);
  if (best === null || phase.reason.kind === 'failover') {
    return best;
  }
  for (const status of phase.raised) {
    if (
      status.backendServer === phase.reason.target &&
      comparePositions(status.position, best.position) === 0
    ) {
      return status;
    }
  }
  return best;
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

function handleLostPromotion(
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
