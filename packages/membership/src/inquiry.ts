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
export interface Inquiry {
  readonly startedAtMs: number;
  readonly voters: readonly MemberRecord[];
  /** Answers; null when the voter never heard from the member. */
  readonly votes: ReadonlyMap<EntryVmId, number | null>;
  /** Zone of the proxy that asks. */
  readonly availabilityZone: string;
}

/** What the answers amount to. @public */
export type InquiryVerdict =
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
const INQUIRY_TIMEOUT_MS = 600;

/** Starts an inquiry among some of the member's watchers. @public */
export function startInquiry(
  self: MemberRecord,
  candidates: readonly MemberRecord[],
  nowMs: number,
  random: RandomSource,
): Inquiry {
  const shuffled = candidates
    .map(record => ({record, order: random.nextFloat()}))
    .sort((left, right) => left.order - right.order)
    .map(entry => entry.record);
  const isElsewhere = (record: MemberRecord) =>
    record.availabilityZone !== self.availabilityZone;
  const elsewhere = shuffled.filter(isElsewhere);
  const nearby = shuffled.filter(record => !isElsewhere(record));
  return {
    startedAtMs: nowMs,
    voters: [...elsewhere, ...nearby].slice(0, MAX_VOTERS),
    votes: new Map(),
    availabilityZone: self.availabilityZone,
  };
}

/** Adds an answer. @public */
export function noteVote(
  inquiry: Inquiry,
  voter: EntryVmId,
  silentForMs: number | null,
): Inquiry {
  const isAsked = inquiry.voters.some(record => record.entryVm === voter);
  if (!isAsked) {
    return inquiry;
  }
  return {...inquiry, votes: new Map(inquiry.votes).set(voter, silentForMs)};
}

/** Weighs the answers that have come. @public */
export function decideInquiry(
  inquiry: Inquiry,
  nowMs: number,
  suspectAfterMs: number,
): InquiryVerdict {
  for (const silentForMs of inquiry.votes.values()) {
    if (silentForMs !== null && silentForMs < suspectAfterMs) {
      return {kind: 'heard', silentForMs};
    }
  }
  const isComplete = inquiry.votes.size === inquiry.voters.length;
  const isOver = nowMs - inquiry.startedAtMs >= INQUIRY_TIMEOUT_MS;
  if (!isComplete && !isOver) {
    return {kind: 'waiting'};
  }
  return isIndependentlyConfirmed(inquiry)
    ? {kind: 'confirmed'}
    : {kind: 'unanswered'};
}

function isIndependentlyConfirmed(inquiry: Inquiry): boolean {
  const isElsewhere = (record: MemberRecord) =>
    record.availabilityZone !== inquiry.availabilityZone;
  const mustBeElsewhere = inquiry.voters.some(isElsewhere);
  return inquiry.voters.some(
    voter =>
      inquiry.votes.has(voter.entryVm) &&
      (!mustBeElsewhere || isElsewhere(voter)),
  );
}
