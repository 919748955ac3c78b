import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {EntryVmId} from '@filbertrun/model/identifiers.js';
import type {MemberRecord} from './member.js';

/**
 * Asks other proxies about a silent one before it is held for dead. A network
 * partition that only this proxy sees is told from a death that way.
 *
 * @public
 */

/** A question about a silent member. @public */
export interface SuspicionCheck {
  readonly startedAtMs: number;
  readonly voters: readonly MemberRecord[];
  /** Answers; null when the voter never heard from the member. */
  readonly votes: ReadonlyMap<EntryVmId, number | null>;
  /** Zone of the proxy that asks. */
  readonly availabilityZone: string;
}

/** What the answers amount to. @public */
export type SuspicionOutcome =
  /** A voter heard from the member a short while ago. */
  | {readonly kind: 'heard'; readonly silentForMs: number}
  /** Another proxy, in another zone if there is one, misses it as well. */
  | {readonly kind: 'confirmed'}
  | {readonly kind: 'waiting'}
  /** The answers that came do not suffice. */
  | {readonly kind: 'unanswered'};

/** Proxies that are asked. */
const MAX_VOTERS = 4;

/** Time that the voters have to answer. */
const VOTE_TIMEOUT_MS = 600;

/** Starts an inquiry among some of the member's watchers. @public */
export function startSuspicionCheck(
  self: MemberRecord,
  candidates: readonly MemberRecord[],
  nowMs: number,
  random: RandomSource,
): SuspicionCheck {
  const shuffled = candidates
    .map(record => ({record, order: random.nextFloat()}))
    .sort((left, right) => left.order - right.order)
    .map(entry => entry.record);
  const isInOtherZone = (record: MemberRecord) =>
    record.availabilityZone !== self.availabilityZone;
  const otherZones = shuffled.filter(isInOtherZone);
  const sameZone = shuffled.filter(record => !isInOtherZone(record));
  return {
    startedAtMs: nowMs,
    voters: [...otherZones, ...sameZone].slice(0, MAX_VOTERS),
    votes: new Map(),
    availabilityZone: self.availabilityZone,
  };
}

/** Adds an answer. @public */
export function recordVote(
  check: SuspicionCheck,
  voter: EntryVmId,
  silentForMs: number | null,
): SuspicionCheck {
  const isAsked = check.voters.some(record => record.entryVm === voter);
  if (!isAsked) {
    return check;
  }
  return {...check, votes: new Map(check.votes).set(voter, silentForMs)};
}

/** Weighs the answers that have come. @public */
export function evaluateSuspicionCheck(
  check: SuspicionCheck,
  nowMs: number,
  suspectAfterMs: number,
): SuspicionOutcome {
  for (const silentForMs of check.votes.values()) {
    if (silentForMs !== null && silentForMs < suspectAfterMs) {
      return {kind: 'heard', silentForMs};
    }
  }
  const isComplete = check.votes.size === check.voters.length;
  const isOver = nowMs - check.startedAtMs >= VOTE_TIMEOUT_MS;
  if (!isComplete && !isOver) {
    return {kind: 'waiting'};
  }
  return isIndependentlyConfirmed(check)
    ? {kind: 'confirmed'}
    : {kind: 'unanswered'};
}

function isIndependentlyConfirmed(check: SuspicionCheck): boolean {
  const isInOtherZone = (record: MemberRecord) =>
    record.availabilityZone !== check.availabilityZone;
  const mustBeInOtherZone = check.voters.some(isInOtherZone);
  return check.voters.some(
    voter =>
      check.votes.has(voter.entryVm) &&
      (!mustBeInOtherZone || isInOtherZone(voter)),
  );
}
