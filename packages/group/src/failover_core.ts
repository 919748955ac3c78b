import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {FailoverCommand, FailoverEvent} from './failover_messages.js';
import {
  getObserved,
  getServingPrimary,
  withObserved,
  type ChangeReason,
  type FailoverPhase,
  type FailoverState,
} from './failover_state.js';
import type {GroupView} from './group_peers.js';
import type {InstanceStatus} from './instance_control.js';
import {
  adoptView,
  backOff,
  createStep,
  type FailoverContext,
  type FailoverStep,
} from './failover_step.js';
import {handleClaimRead, handleClaimWritten} from './failover_claim.js';
import {
  handleFencingTick,
  handlePromoted,
  handleTermRaised,
} from './failover_promotion.js';
import {
  getInstancesWithoutPrimary,
  isPrimaryFailing,
  isRecent,
  isSuspectedByZones,
} from './primary_health.js';

/**
 * Decides when a database group needs a new primary and drives the change:
 * suspicion, claim, fencing, promotion, redirection. It is a pure reducer: it
 * maps a state and an event to the next state and commands.
 * docs/design/failover.md argues why it is safe.
 */

/** Time to collect votes before a suspicion is evaluated. */
const VOTE_COLLECTION_TIMEOUT_MS = 150;

/**
 * Delay of a change of primary per rank, so that a monitor starts one only if
 * those ranked before it have not.
 */
const RANK_DELAY_MS = 200;

/**
 * Time for reading and writing the claim; then the change goes on without it.
 */
const CLAIM_TIMEOUT_MS = 250;

/** Time limit for raising the term, and for the promotion. */
const FENCING_TIMEOUT_MS = 800;

/** Time without new suspicions after this process was stalled. */
const STALL_SUPPRESSION_MS = 500;

/** Minimum interval between two follow commands to one instance. */
const REDIRECT_INTERVAL_MS = 300;

/** Computes the next state and the commands for one event. @public */
export function reduceFailover(
  state: FailoverState,
  event: FailoverEvent,
  context: FailoverContext,
): FailoverStep {
  switch (event.kind) {
    case 'statusObserved':
      return createStep(observeStatus(state, event.status, context));
    case 'instanceFailed':
      return createStep(
        withObserved(state, event.backendServer, {
          ...getObserved(state, event.backendServer),
          failure: event.health,
        }),
      );
    case 'viewReceived':
      return createStep(adoptView(state, event.view, context.rules));
    case 'tick':
      return handleTick(state, event, context);
    case 'stallDetected':
      return createStep(handleStall(state, context));
    case 'serversChanged':
      return createStep(handleServers(state, event.servers));
    case 'votesCollected':
      return createStep(handleVotes(state, event));
    case 'claimRead':
      return event.attempt === state.attempt
        ? handleClaimRead(state, event.outcome, context)
        : createStep(state);
    case 'claimWritten':
      return event.attempt === state.attempt
        ? handleClaimWritten(state, event.outcome, context)
        : createStep(state);
    case 'termRaised':
      return handleTermRaised(state, event, context);
    case 'promoted':
      return handlePromoted(state, event, context);
    case 'changeRequested':
      return beginChange(
        state,
        {kind: 'planned', target: event.target},
        context,
      );
    default:
      return exhaustiveSwitchError(event);
  }
}

function observeStatus(
  state: FailoverState,
  status: InstanceStatus,
  context: FailoverContext,
): FailoverState {
  const previous = getObserved(state, status.backendServer);
  if (previous.status !== null && status.term < previous.status.term) {
    // An instance never lowers its term, so this response is out of date.
    return state;
  }
  const hasNoPrimary =
    status.role === 'replica' &&
    (status.primary === null || status.primarySilentForMs === null);
  const next = withObserved(state, status.backendServer, {
    status,
    respondedAtMs: context.nowMs,
    failure: null,
    noPrimarySinceMs: hasNoPrimary
      ? (previous.noPrimarySinceMs ?? context.nowMs)
      : null,
    redirectedAtMs: previous.redirectedAtMs,
  });
  const raised = {
    ...next,
    highestTerm: Math.max(next.highestTerm, status.term),
  };
  const primary =
    status.role === 'primary' ? status.backendServer : status.primary;
  if (primary === null) {
    return raised;
  }
  const view = {
    databaseGroup: state.databaseGroup,
    term: status.term,
    claimId: status.claimId,
    primary,
  };
  return adoptView(raised, view, context.rules);
}

function handleStall(
  state: FailoverState,
  context: FailoverContext,
): FailoverState {
  const instances = new Map(state.instances);
  for (const [server, observed] of instances) {
    instances.set(server, {...observed, failure: null, noPrimarySinceMs: null});
  }
  return {
    ...state,
    instances,
    phase: {kind: 'watching'},
    attempt: state.attempt + 1,
    suppressedUntilMs: context.nowMs + STALL_SUPPRESSION_MS,
  };
}

/** Abandons the attempt, because its majority was among the old instances. */
function handleServers(
  state: FailoverState,
  servers: readonly BackendServerId[],
): FailoverState {
  return {
    ...state,
    servers,
    phase: {kind: 'watching'},
    attempt: state.attempt + 1,
  };
}

function handleVotes(
  state: FailoverState,
  event: Extract<FailoverEvent, {kind: 'votesCollected'}>,
): FailoverState {
  if (event.attempt !== state.attempt || state.phase.kind !== 'suspecting') {
    return state;
  }
  return {...state, phase: {...state.phase, votes: event.votes}};
}

type TickEvent = Extract<FailoverEvent, {kind: 'tick'}>;

function handleTick(
  state: FailoverState,
  event: TickEvent,
  context: FailoverContext,
): FailoverStep {
  switch (state.phase.kind) {
    case 'watching':
      return handleWatchingTick(state, event, context);
    case 'suspecting':
      return handleSuspectingTick(state, state.phase, event, context);
    case 'claiming':
      return context.nowMs - state.phase.sinceMs >= CLAIM_TIMEOUT_MS
        ? handleClaimRead(state, {kind: 'unavailable'}, context)
        : createStep(state);
    case 'fencing':
      return context.nowMs - state.phase.sinceMs >= FENCING_TIMEOUT_MS
        ? createStep(backOff(state, context))
        : handleFencingTick(state, state.phase, context);
    case 'promoting':
      return context.nowMs - state.phase.sinceMs >= FENCING_TIMEOUT_MS
        ? createStep(backOff(state, context))
        : createStep(state);
    default:
      return exhaustiveSwitchError(state.phase);
  }
}

function handleWatchingTick(
  state: FailoverState,
  event: TickEvent,
  context: FailoverContext,
): FailoverStep {
  if (event.monitorRank === null) {
    return createStep(state);
  }
  if (
    context.nowMs >= state.suppressedUntilMs &&
    isSuspicious(state, context)
  ) {
    return beginSuspicion(state, context);
  }
  return redirectFollowers(state, event.monitorRank, context);
}

function isSuspicious(state: FailoverState, context: FailoverContext): boolean {
  const withoutPrimary = getInstancesWithoutPrimary(state, context.nowMs);
  return (
    isPrimaryFailing(state) ||
    withoutPrimary.length >= context.rules.getMajority(state.servers.length)
  );
}

function beginSuspicion(
  state: FailoverState,
  context: FailoverContext,
): FailoverStep {
  const attempt = state.attempt + 1;
  const commands: FailoverCommand[] = [];
  if (state.view !== null) {
    commands.push({
      kind: 'collectVotes',
      attempt,
      backendServer: state.view.primary,
    });
  }
  for (const backendServer of state.servers) {
    commands.push({kind: 'requestStatus', backendServer});
  }
  return createStep(
    {
      ...state,
      attempt,
      phase: {
        kind: 'suspecting',
        sinceMs: context.nowMs,
        votes: state.view === null ? [] : null,
      },
    },
    commands,
  );
}

function handleSuspectingTick(
  state: FailoverState,
  phase: Extract<FailoverPhase, {kind: 'suspecting'}>,
  event: TickEvent,
  context: FailoverContext,
): FailoverStep {
  if (event.monitorRank === null || !isSuspicious(state, context)) {
    return createStep({...state, phase: {kind: 'watching'}});
  }
  const elapsedMs = context.nowMs - phase.sinceMs;
  const isVoteOver =
    phase.votes !== null || elapsedMs >= VOTE_COLLECTION_TIMEOUT_MS;
  const isRankDelayOver = elapsedMs >= event.monitorRank * RANK_DELAY_MS;
  if (!isVoteOver || !isRankDelayOver) {
    return createStep(state, requestStatuses(state));
  }
  if (isPrimaryLossConfirmed(state, phase.votes ?? [], event, context)) {
    return beginChange(state, {kind: 'failover'}, context);
  }
  const isExpired =
    elapsedMs >= VOTE_COLLECTION_TIMEOUT_MS + FENCING_TIMEOUT_MS;
  return isExpired
    ? createStep(backOff(state, context))
    : createStep(state, requestStatuses(state));
}

/**
 * Whether the suspicion suffices for a failover: a majority of instances has no
 * contact with a primary; or calls to the primary fail, a majority of instances
 * responds, and a majority of availability zones suspects the primary.
 */
function isPrimaryLossConfirmed(
  state: FailoverState,
  votes: NonNullable<Extract<FailoverPhase, {kind: 'suspecting'}>['votes']>,
  event: TickEvent,
  context: FailoverContext,
): boolean {
  const majority = context.rules.getMajority(state.servers.length);
  if (getInstancesWithoutPrimary(state, context.nowMs).length >= majority) {
    return true;
  }
  if (!isPrimaryFailing(state) || state.view === null) {
    return false;
  }
  const recentCount = state.servers.filter(server =>
    isRecent(getObserved(state, server), context.nowMs),
  ).length;
  return (
    recentCount >= majority &&
    isSuspectedByZones(context.localZone, votes, event.knownZones)
  );
}

function requestStatuses(state: FailoverState): readonly FailoverCommand[] {
  return state.servers.map(backendServer => ({
    kind: 'requestStatus' as const,
    backendServer,
  }));
}

function beginChange(
  state: FailoverState,
  reason: ChangeReason,
  context: FailoverContext,
): FailoverStep {
  const attempt = state.attempt + 1;
  const claimId = `${state.claimPrefix}.${attempt}`;
  return createStep(
    {
      ...state,
      attempt,
      phase: {
        kind: 'claiming',
        step: 'reading',
        sinceMs: context.nowMs,
        reason,
        term: state.highestTerm + 1,
        claimId,
      },
    },
    [{kind: 'readClaim', attempt}],
  );
}

/**
 * Makes instances follow the current primary if they follow none or an old one.
 */
function redirectFollowers(
  state: FailoverState,
  monitorRank: number,
  context: FailoverContext,
): FailoverStep {
  const view = state.view;
  const primary = getServingPrimary(state);
  if (view === null || view.claimId === null || primary === null) {
    return createStep(state);
  }
  if (monitorRank > 0) {
    return createStep(state);
  }
  let next = state;
  const commands: FailoverCommand[] = [];
  for (const backendServer of state.servers) {
    if (!mustRedirect(state, view, backendServer, context.nowMs)) {
      continue;
    }
    next = withObserved(next, backendServer, {
      ...getObserved(next, backendServer),
      redirectedAtMs: context.nowMs,
    });
    commands.push({
      kind: 'follow',
      backendServer,
      term: view.term,
      claimId: view.claimId,
      primary,
    });
  }
  return createStep(next, commands);
}

function mustRedirect(
  state: FailoverState,
  view: GroupView,
  backendServer: BackendServerId,
  nowMs: number,
): boolean {
  const observed = getObserved(state, backendServer);
  if (
    observed.status === null ||
    backendServer === view.primary ||
    !isRecent(observed, nowMs) ||
    nowMs - observed.redirectedAtMs < REDIRECT_INTERVAL_MS
  ) {
    return false;
  }
  const status = observed.status;
  if (status.term < view.term) {
    return true;
  }
  return (
    status.term === view.term &&
    status.claimId === view.claimId &&
    status.role === 'replica' &&
    status.primary !== view.primary
  );
}
