import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import {
  backOff,
  createStep,
  type FailoverContext,
  type FailoverStep,
} from './failover_step.js';
import type {
  ClaimReadOutcome,
  ClaimRecord,
  ClaimWriteOutcome,
  FailoverCommand,
} from './failover_messages.js';
import type {FailoverPhase, FailoverState} from './failover_state.js';

/**
 * The claim step of a change of primary. The claim prevents several proxies
 * from changing the primary at the same time, and publishes the change. Safety
 * does not depend on it: a term is in force only after a majority of instances
 * has accepted it for one claim id.
 */

type ClaimingPhase = Extract<FailoverPhase, {kind: 'claiming'}>;

/**
 * Time from the first read of another proxy's claim for which that proxy may
 * finish its promotion undisturbed.
 */
const FOREIGN_CLAIM_TIMEOUT_MS = 600;

/** Handles the claim that was read from the table. @internal */
export function handleClaimRead(
  state: FailoverState,
  outcome: ClaimReadOutcome,
  context: FailoverContext,
): FailoverStep {
  const phase = state.phase;
  if (phase.kind !== 'claiming') {
    return createStep(state);
  }
  if (outcome.kind === 'unavailable') {
    // Fencing the instances keeps this safe while the table is unavailable.
    return beginFencing(state, phase, context);
  }
  if (phase.step === 'readingBack') {
    return outcome.claim?.claimId === phase.claimId
      ? beginFencing(state, phase, context)
      : createStep(backOff(state, context));
  }
  if (mustYield(state, outcome.claim, context)) {
    return createStep(recordForeignClaim(state, outcome.claim, context));
  }
  return writeClaim(state, phase, outcome);
}

/** Handles the outcome of the conditional write. @internal */
export function handleClaimWritten(
  state: FailoverState,
  outcome: ClaimWriteOutcome,
  context: FailoverContext,
): FailoverStep {
  const phase = state.phase;
  if (phase.kind !== 'claiming') {
    return createStep(state);
  }
  switch (outcome) {
    case 'written':
    case 'unavailable':
      return beginFencing(state, phase, context);
    case 'conflict':
      return createStep(backOff(state, context));
    case 'outcomeUnknown':
      return createStep({...state, phase: {...phase, step: 'readingBack'}}, [
        {kind: 'readClaim', attempt: state.attempt},
      ]);
    default:
      return exhaustiveSwitchError(outcome);
  }
}

function writeClaim(
  state: FailoverState,
  phase: ClaimingPhase,
  outcome: Extract<ClaimReadOutcome, {kind: 'read'}>,
): FailoverStep {
  const term = Math.max(phase.term, (outcome.claim?.term ?? 0) + 1);
  return createStep({...state, phase: {...phase, step: 'writing', term}}, [
    {
      kind: 'writeClaim',
      attempt: state.attempt,
      claim: {term, claimId: phase.claimId, primary: null},
      expectedRevision: outcome.revision,
    },
  ]);
}

/** Whether another proxy still has time to complete its claim. */
function mustYield(
  state: FailoverState,
  claim: ClaimRecord | null,
  context: FailoverContext,
): boolean {
  if (claim === null || claim.primary !== null) {
    return false;
  }
  const isLocal = claim.claimId.startsWith(`${state.claimPrefix}.`);
  if (isLocal || claim.term <= (state.view?.term ?? 0)) {
    return false;
  }
  return (
    state.foreignClaim?.claimId !== claim.claimId ||
    context.nowMs - state.foreignClaim.seenAtMs < FOREIGN_CLAIM_TIMEOUT_MS
  );
}

function recordForeignClaim(
  state: FailoverState,
  claim: ClaimRecord | null,
  context: FailoverContext,
): FailoverState {
  const next = backOff(state, context);
  if (claim === null || state.foreignClaim?.claimId === claim.claimId) {
    return next;
  }
  return {
    ...next,
    foreignClaim: {claimId: claim.claimId, seenAtMs: context.nowMs},
  };
}

function beginFencing(
  state: FailoverState,
  phase: ClaimingPhase,
  context: FailoverContext,
): FailoverStep {
  const commands: FailoverCommand[] = state.servers.map(backendServer => ({
    kind: 'raiseTerm',
    attempt: state.attempt,
    backendServer,
    term: phase.term,
    claimId: phase.claimId,
  }));
  return createStep(
    {
      ...state,
      phase: {
        kind: 'fencing',
        sinceMs: context.nowMs,
        reason: phase.reason,
        term: phase.term,
        claimId: phase.claimId,
        raised: [],
        respondedCount: 0,
        replaced: state.view?.primary ?? null,
      },
    },
    commands,
  );
}
