import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {EntryVmId} from '@filbertrun/model/identifiers.js';
import {addGossip, takeGossip, type GossipQueue} from './gossip_queue.js';
import {
  evaluateSuspicionCheck,
  recordVote,
  startSuspicionCheck,
  type SuspicionCheck,
} from './suspicion_check.js';
import {MAX_UPDATES_PER_HEARTBEAT, type MemberRecord} from './member.js';
import {
  computeDigest,
  removeExpired,
  getPresentRecords,
  isPresent,
  mergeRecord,
  recordContact,
  recordHeartbeat,
  markNeighbours,
  type MemberEntry,
  type MemberTable,
} from './member_table.js';
import type {MembershipMessage} from './membership_message.js';
import {selectNeighbours, selectHeartbeatSenders} from './neighbours.js';

/**
 * Decides which proxies are alive, from heartbeats, gossip and the platform's
 * list of entry VMs.
 *
 * @public
 */

/** Heartbeat interval per neighbour when there are few proxies. */
export const HEARTBEAT_INTERVAL_MS = 500;

/** Heartbeat interval per neighbour when there are many proxies. */
export const SLOW_HEARTBEAT_INTERVAL_MS = 1000;

/** Number of members above which the slow interval applies. */
const MAX_FAST_MEMBERS = 16;

/** Heartbeat intervals without contact after which a neighbour is suspected. */
const MAX_MISSED_HEARTBEATS = 3;

/**
 * Heartbeat intervals after a neighbour's heartbeat in which this proxy sends
 * it none.
 */
const RECEIVED_HEARTBEAT_INTERVALS = 1.2;

/** Time without contact after which a member is dead without confirmation. */
const UNCONFIRMED_DEAD_AFTER_MS = 10_000;

/** Delay of a tick from which the process counts as stalled. */
export const STALL_THRESHOLD_MS = 1000;

/** Minimum interval between two requests for a whole table. */
const MEMBERS_REQUEST_INTERVAL_MS = 10_000;

/** Time that gossip has to converge before a whole table is requested. */
const GOSSIP_CONVERGENCE_MS = 3000;

/** Minimum interval between two heartbeats to members declared dead. */
const DEAD_PROBE_INTERVAL_MS = 2000;

/** The state of membership in one proxy. @public */
export interface MembershipState {
  readonly self: MemberRecord;
  readonly table: MemberTable;
  readonly neighbours: readonly EntryVmId[];
  readonly suspicionChecks: ReadonlyMap<EntryVmId, SuspicionCheck>;
  readonly gossip: GossipQueue;
  readonly lastChangeAtMs: number;
  readonly lastMembersRequestAtMs: number;
  readonly lastDeadProbeAtMs: number;
  /**
   * When the proxy joined; null while it has had no contact since its start or
   * last stall, and may use neither connection shares nor group assignments.
   */
  readonly joinedAtMs: number | null;
  /** When the process started, or last detected a stall. */
  readonly startedAtMs: number;
}

/** Input of the membership core. @public */
export type MembershipEvent =
  | {readonly kind: 'tick'; readonly nowMs: number}
  | {
      readonly kind: 'messageReceived';
      readonly nowMs: number;
      readonly message: MembershipMessage;
      /**
       * When this proxy sent the heartbeat to which the message responds; null
       * if the message is itself a heartbeat.
       */
      readonly heartbeatSentAtMs: number | null;
    }
  | {
      readonly kind: 'recordsReceived';
      readonly nowMs: number;
      readonly records: readonly MemberRecord[];
    }
  | {
      readonly kind: 'voteReceived';
      readonly nowMs: number;
      readonly subject: EntryVmId;
      readonly voter: EntryVmId;
      /** Null if the voter never heard from the subject. */
      readonly silentForMs: number | null;
    }
  | {readonly kind: 'leaveStarted'; readonly nowMs: number}
  | {readonly kind: 'leaveEnded'; readonly nowMs: number}
  | {
      readonly kind: 'stallDetected';
      readonly nowMs: number;
      readonly stalledForMs: number;
    };

/** Command of the membership core to its manager. @public */
export type MembershipCommand =
  | {
      readonly kind: 'sendHeartbeat';
      readonly entryVm: EntryVmId;
      readonly peerUrl: string;
    }
  | {
      /** Asks a voter for the time since it last heard from the subject. */
      readonly kind: 'askSilence';
      readonly voter: EntryVmId;
      readonly voterUrl: string;
      readonly subject: EntryVmId;
    }
  | {
      readonly kind: 'requestMembers';
      readonly entryVm: EntryVmId;
      readonly peerUrl: string;
    }
  | {readonly kind: 'memberChanged'; readonly record: MemberRecord}
  | {readonly kind: 'suspended'}
  | {readonly kind: 'joined'};

/** The next state and the commands to execute. @public */
export interface MembershipStep {
  readonly state: MembershipState;
  readonly commands: readonly MembershipCommand[];
}

/** Creates the initial state of a proxy. @public */
export function createMembershipState(
  self: MemberRecord,
  nowMs: number,
): MembershipState {
  return {
    self,
    table: new Map(),
    neighbours: [],
    suspicionChecks: new Map(),
    gossip: addGossip(new Map(), self.entryVm, 0),
    lastChangeAtMs: nowMs,
    lastMembersRequestAtMs: nowMs - MEMBERS_REQUEST_INTERVAL_MS,
    lastDeadProbeAtMs: nowMs,
    joinedAtMs: null,
    startedAtMs: nowMs,
  };
}

/** Current heartbeat interval per neighbour. @public */
export function getHeartbeatIntervalMs(state: MembershipState): number {
  return state.table.size > MAX_FAST_MEMBERS
    ? SLOW_HEARTBEAT_INTERVAL_MS
    : HEARTBEAT_INTERVAL_MS;
}

/** Computes the next state and the commands for one event. @public */
export function reduceMembership(
  state: MembershipState,
  event: MembershipEvent,
  random: RandomSource,
): MembershipStep {
  switch (event.kind) {
    case 'tick':
      return handleTick(state, event.nowMs, random);
    case 'messageReceived':
      return handleMessage(state, event);
    case 'recordsReceived':
      // Not gossiped: the other proxies read the list and tables themselves.
      return mergeRecords(state, event.records, event.nowMs, false);
    case 'voteReceived':
      return handleVote(state, event);
    case 'leaveStarted':
      return changeLocalState(state, 'leaving', event.nowMs);
    case 'leaveEnded':
      return changeLocalState(state, 'left', event.nowMs);
    case 'stallDetected':
      return handleStall(state, event.nowMs, event.stalledForMs);
    default:
      return exhaustiveSwitchError(event);
  }
}

/**
 * Creates the message of the next heartbeat or response. If this proxy's
 * record of the receiver is dead or left, it is included, so that the receiver
 * can refute it.
 *
 * @public
 */
export function createMessage(
  state: MembershipState,
  receiver: EntryVmId,
): {readonly state: MembershipState; readonly message: MembershipMessage} {
  const taken = takeGossip(state.gossip, MAX_UPDATES_PER_HEARTBEAT - 1);
  const names = new Set(taken.names);
  const held = state.table.get(receiver)?.record;
  if (held !== undefined && !isPresent(held.state)) {
    names.add(receiver);
  }
  const updates: MemberRecord[] = [];
  for (const name of names) {
    const record = state.table.get(name)?.record;
    if (record !== undefined) {
      updates.push(record);
    }
  }
  const message: MembershipMessage = {
    sender: state.self,
    membersDigest: computeDigest(state.self, state.table),
    updates,
  };
  return {state: {...state, gossip: taken.queue}, message};
}

function handleTick(
  state: MembershipState,
  nowMs: number,
  random: RandomSource,
): MembershipStep {
  const cleaned = {...state, table: removeExpired(state.table, nowMs)};
  const checked = advanceSuspicionChecks(cleaned, nowMs, random);
  const joined = joinIfAlone(checked.state, nowMs);
  const probed = probeDeadMember(joined.state, nowMs, random);
  const heartbeats: MembershipCommand[] = [];
  for (const entryVm of probed.state.neighbours) {
    const entry = probed.state.table.get(entryVm);
    if (entry !== undefined && mustSend(probed.state, entry, nowMs)) {
      heartbeats.push(createHeartbeatCommand(entry.record));
    }
  }
  return {
    state: probed.state,
    commands: [
      ...checked.commands,
      ...joined.commands,
      ...heartbeats,
      ...probed.commands,
    ],
  };
}

/**
 * Whether a heartbeat to a neighbour is due. One exchange per interval is
 * enough for both sides, so a neighbour that has sent a heartbeat needs none.
 */
function mustSend(
  state: MembershipState,
  entry: MemberEntry,
  nowMs: number,
): boolean {
  if (state.joinedAtMs === null || entry.heartbeatAtMs === null) {
    return true;
  }
  const coveredMs =
    getHeartbeatIntervalMs(state) * RECEIVED_HEARTBEAT_INTERVALS;
  return nowMs - entry.heartbeatAtMs >= coveredMs;
}

function handleMessage(
  state: MembershipState,
  event: Extract<MembershipEvent, {kind: 'messageReceived'}>,
): MembershipStep {
  const {message, nowMs} = event;
  if (message.sender.entryVm === state.self.entryVm) {
    return {state, commands: []};
  }
  const merged = mergeRecords(
    state,
    [message.sender, ...message.updates],
    nowMs,
    true,
  );
  const {entryVm} = message.sender;
  const table = recordContact(merged.state.table, entryVm, nowMs);
  const isRequest = event.heartbeatSentAtMs === null;
  const heard: MembershipState = {
    ...merged.state,
    table: isRequest ? recordHeartbeat(table, entryVm, nowMs) : table,
    suspicionChecks: removeKey(merged.state.suspicionChecks, entryVm),
  };
  // A response to a heartbeat from before a stall is no contact since then.
  const isFreshResponse =
    event.heartbeatSentAtMs !== null &&
    event.heartbeatSentAtMs >= heard.startedAtMs;
  const joined =
    isFreshResponse && heard.joinedAtMs === null
      ? join(heard, nowMs)
      : {state: heard, commands: []};
  const compared = requestMembersIfDifferent(joined.state, message, nowMs);
  return {
    state: compared.state,
    commands: [...merged.commands, ...joined.commands, ...compared.commands],
  };
}

function mergeRecords(
  state: MembershipState,
  records: readonly MemberRecord[],
  nowMs: number,
  mustGossip: boolean,
): MembershipStep {
  let next = state;
  const commands: MembershipCommand[] = [];
  for (const record of records) {
    if (record.entryVm === state.self.entryVm) {
      next = refuteIfNeeded(next, record, nowMs);
      continue;
    }
    const held = next.table.get(record.entryVm)?.record;
    const table = mergeRecord(next.table, record, nowMs);
    if (table === next.table) {
      continue;
    }
    next = {...next, table};
    // A new incarnation in the same state concerns only neighbours.
    if (held?.state !== record.state) {
      next = mustGossip ? recordChange(next, record.entryVm, nowMs) : next;
      commands.push({kind: 'memberChanged', record});
    }
  }
  return {state: updateNeighbours(next, state, nowMs), commands};
}

/** Raises the local incarnation above that of a wrong record of this proxy. */
function refuteIfNeeded(
  state: MembershipState,
  record: MemberRecord,
  nowMs: number,
): MembershipState {
  const {self} = state;
  const isOlder = record.incarnation < self.incarnation;
  const isSame =
    record.incarnation === self.incarnation && record.state === self.state;
  const isBehind =
    record.incarnation === self.incarnation && record.state === 'live';
  if (isOlder || isSame || isBehind) {
    return state;
  }
  const refuted = {...self, incarnation: record.incarnation + 1};
  return recordChange({...state, self: refuted}, self.entryVm, nowMs);
}

function handleVote(
  state: MembershipState,
  event: Extract<MembershipEvent, {kind: 'voteReceived'}>,
): MembershipStep {
  const check = state.suspicionChecks.get(event.subject);
  if (check === undefined) {
    return {state, commands: []};
  }
  const updated = recordVote(check, event.voter, event.silentForMs);
  const suspicionChecks = new Map(state.suspicionChecks).set(
    event.subject,
    updated,
  );
  return resolveSuspicionCheck(
    {...state, suspicionChecks},
    event.subject,
    event.nowMs,
  );
}

/** Suspends a stalled proxy until it has contact again. */
function handleStall(
  state: MembershipState,
  nowMs: number,
  stalledForMs: number,
): MembershipStep {
  if (stalledForMs < STALL_THRESHOLD_MS) {
    return {state, commands: []};
  }
  // Missing heartbeats during the stall are no evidence about other members.
  const cleared = markNeighbours(state.table, [], nowMs);
  const table = markNeighbours(cleared, state.neighbours, nowMs);
  return {
    state: {
      ...state,
      table,
      suspicionChecks: new Map(),
      joinedAtMs: null,
      startedAtMs: nowMs,
    },
    commands: [{kind: 'suspended'}],
  };
}

function changeLocalState(
  state: MembershipState,
  localState: 'leaving' | 'left',
  nowMs: number,
): MembershipStep {
  const self = {...state.self, state: localState};
  const next = recordChange({...state, self}, self.entryVm, nowMs);
  return {state: next, commands: []};
}

function advanceSuspicionChecks(
  state: MembershipState,
  nowMs: number,
  random: RandomSource,
): MembershipStep {
  let next = state;
  const commands: MembershipCommand[] = [];
  for (const entryVm of state.neighbours) {
    const entry = next.table.get(entryVm);
    if (entry === undefined || !isUnresponsive(next, entry, nowMs)) {
      continue;
    }
    if (next.suspicionChecks.has(entryVm)) {
      const settled = resolveSuspicionCheck(next, entryVm, nowMs);
      next = settled.state;
      commands.push(...settled.commands);
      continue;
    }
    const started = beginSuspicionCheck(next, entry, nowMs, random);
    next = started.state;
    commands.push(...started.commands);
  }
  return {state: next, commands};
}

function beginSuspicionCheck(
  state: MembershipState,
  entry: MemberEntry,
  nowMs: number,
  random: RandomSource,
): MembershipStep {
  const subject = entry.record;
  const present = getPresentRecords(state.table);
  const senders = selectHeartbeatSenders(subject, present);
  const check = startSuspicionCheck(
    state.self,
    present.filter(
      record =>
        record.entryVm !== subject.entryVm && senders.includes(record.entryVm),
    ),
    nowMs,
    random,
  );
  const suspicionChecks = new Map(state.suspicionChecks).set(
    subject.entryVm,
    check,
  );
  const commands = check.voters.map(voter => ({
    kind: 'askSilence' as const,
    voter: voter.entryVm,
    voterUrl: voter.peerUrl,
    subject: subject.entryVm,
  }));
  return {state: {...state, suspicionChecks}, commands};
}

function resolveSuspicionCheck(
  state: MembershipState,
  subject: EntryVmId,
  nowMs: number,
): MembershipStep {
  const check = state.suspicionChecks.get(subject);
  const entry = state.table.get(subject);
  if (check === undefined || entry === undefined) {
    return {state, commands: []};
  }
  const silentForMs = nowMs - getLastContactMs(entry, nowMs);
  const outcome = evaluateSuspicionCheck(
    check,
    nowMs,
    getSuspectAfterMs(state),
  );
  if (outcome.kind === 'heard') {
    const table = recordContact(
      state.table,
      subject,
      nowMs - outcome.silentForMs,
    );
    const suspicionChecks = removeKey(state.suspicionChecks, subject);
    return {state: {...state, table, suspicionChecks}, commands: []};
  }
  const isConfirmed = outcome.kind === 'confirmed';
  if (!isConfirmed && silentForMs < UNCONFIRMED_DEAD_AFTER_MS) {
    const suspicionChecks =
      outcome.kind === 'unanswered'
        ? removeKey(state.suspicionChecks, subject)
        : state.suspicionChecks;
    return {state: {...state, suspicionChecks}, commands: []};
  }
  const record: MemberRecord = {...entry.record, state: 'dead'};
  const suspicionChecks = removeKey(state.suspicionChecks, subject);
  return mergeRecords({...state, suspicionChecks}, [record], nowMs, true);
}

function isUnresponsive(
  state: MembershipState,
  entry: MemberEntry,
  nowMs: number,
): boolean {
  return nowMs - getLastContactMs(entry, nowMs) >= getSuspectAfterMs(state);
}

function getLastContactMs(entry: MemberEntry, nowMs: number): number {
  return Math.max(
    entry.heardAtMs ?? -Infinity,
    entry.neighbourSinceMs ?? nowMs,
  );
}

function getSuspectAfterMs(state: MembershipState): number {
  return getHeartbeatIntervalMs(state) * MAX_MISSED_HEARTBEATS;
}

/**
 * Joins without contact: after one second if there are no neighbours, otherwise
 * after `JOIN_ALONE_AFTER_MS`.
 */
function joinIfAlone(state: MembershipState, nowMs: number): MembershipStep {
  const waitedMs = nowMs - state.startedAtMs;
  const isAlone =
    state.joinedAtMs === null &&
    waitedMs >= (state.neighbours.length === 0 ? 1000 : JOIN_ALONE_AFTER_MS);
  return isAlone ? join(state, nowMs) : {state, commands: []};
}

/** Time after which a proxy that can reach no other joins alone. */
const JOIN_ALONE_AFTER_MS = 10_000;

function join(state: MembershipState, nowMs: number): MembershipStep {
  return {state: {...state, joinedAtMs: nowMs}, commands: [{kind: 'joined'}]};
}

/** Sends an occasional heartbeat to a dead member, to heal a partition. */
function probeDeadMember(
  state: MembershipState,
  nowMs: number,
  random: RandomSource,
): MembershipStep {
  if (nowMs - state.lastDeadProbeAtMs < DEAD_PROBE_INTERVAL_MS) {
    return {state, commands: []};
  }
  const dead: MemberRecord[] = [];
  for (const {record} of state.table.values()) {
    if (record.state === 'dead') {
      dead.push(record);
    }
  }
  const next = {...state, lastDeadProbeAtMs: nowMs};
  const chosen = dead[random.nextInteger(0, Math.max(0, dead.length - 1))];
  const commands = chosen === undefined ? [] : [createHeartbeatCommand(chosen)];
  return {state: next, commands};
}

function requestMembersIfDifferent(
  state: MembershipState,
  message: MembershipMessage,
  nowMs: number,
): MembershipStep {
  const isEqual =
    message.membersDigest === computeDigest(state.self, state.table);
  const isConverging = nowMs - state.lastChangeAtMs < GOSSIP_CONVERGENCE_MS;
  const isRequestTooSoon =
    nowMs - state.lastMembersRequestAtMs < MEMBERS_REQUEST_INTERVAL_MS;
  const isNewMember = state.table.size <= 1;
  if (isEqual || isRequestTooSoon || (isConverging && !isNewMember)) {
    return {state, commands: []};
  }
  const {entryVm, peerUrl} = message.sender;
  return {
    state: {...state, lastMembersRequestAtMs: nowMs},
    commands: [{kind: 'requestMembers', entryVm, peerUrl}],
  };
}

function recordChange(
  state: MembershipState,
  entryVm: EntryVmId,
  nowMs: number,
): MembershipState {
  const gossip = addGossip(state.gossip, entryVm, state.table.size);
  return {...state, gossip, lastChangeAtMs: nowMs};
}

/** Recomputes the neighbours if the table has changed. */
function updateNeighbours(
  state: MembershipState,
  before: MembershipState,
  nowMs: number,
): MembershipState {
  if (state.table === before.table) {
    return state;
  }
  const neighbours = selectNeighbours(
    state.self,
    getPresentRecords(state.table),
  );
  const table = markNeighbours(state.table, neighbours, nowMs);
  return {...state, neighbours, table};
}

function createHeartbeatCommand(record: MemberRecord): MembershipCommand {
  const {entryVm, peerUrl} = record;
  return {kind: 'sendHeartbeat', entryVm, peerUrl};
}

function removeKey<K, V>(map: ReadonlyMap<K, V>, key: K): ReadonlyMap<K, V> {
  if (!map.has(key)) {
    return map;
  }
  const next = new Map(map);
  next.delete(key);
  return next;
}
