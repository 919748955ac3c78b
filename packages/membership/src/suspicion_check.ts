import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {EntryVmId} from '@filbertrun/model/identifiers.js';
import type {MemberRecord} from './member.js';

/**
 * Asks other proxies about an unresponsive member before it is declared dead.
 * This distinguishes a dead member from a network partition that affects only
 * this proxy.
 *
 * @public
 */

/** Votes of other proxies about an unresponsive member. @public */
export interface SuspicionCheck {
  readonly startedAtMs: number;
  readonly voters: readonly MemberRecord[];
  /** Time since each voter heard from the member; null if it never did. */
  readonly votes: ReadonlyMap<EntryVmId, number | null>;
  /** Availability zone of the proxy that runs the check. */
  readonly availabilityZone: string;
}

/** Outcome of a suspicion check. @public */
export type SuspicionOutcome =
  /** A voter heard from the member recently. */
  | {readonly kind: 'heard'; readonly silentForMs: number}
  /**
   * A voter has not heard from the member recently. The voter must be in
   * another zone than this proxy if any of the voters is.
   */
  | {readonly kind: 'confirmed'}
  | {readonly kind: 'waiting'}
  /** No voter whose vote could confirm the suspicion responded in time. */
  | {readonly kind: 'unanswered'};

/** Maximum number of proxies that are asked. */
const MAX_VOTERS = 4;

/** Time that the voters have to respond. */
const VOTE_TIMEOUT_MS = 600;

/**
 * Starts a check with some of the candidates, those of other zones first.
 *
 * @public
 */
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

/** Records a vote; one of a proxy that was not asked is ignored. @public */
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

/** Evaluates the votes that have arrived. @public */
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
  const isExpired = nowMs - check.startedAtMs >= VOTE_TIMEOUT_MS;
  if (!isComplete && !isExpired) {
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
