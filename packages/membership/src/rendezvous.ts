import {LRUCache} from 'lru-cache';
import murmurhash from 'murmurhash';

/**
 * Rendezvous hashing: every proxy ranks the same candidates for a key in the
 * same order, and adding or removing a candidate moves only the keys that are
 * assigned to it.
 *
 * @public
 */

/** A candidate for the assignment of a key. @public */
export interface RendezvousCandidate {
  readonly name: string;
  readonly availabilityZone: string;
  /** Hash of the name, from `computeHash`. */
  readonly hash: number;
}

/** Maximum number of cached hashes. */
const MAX_CACHED_HASHES = 8192;

const cachedHashes = new LRUCache<string, number>({max: MAX_CACHED_HASHES});

/** Unsigned 32-bit hash of a name. @public */
export function computeHash(name: string): number {
  const cached = cachedHashes.get(name);
  if (cached !== undefined) {
    return cached;
  }
  const hash = murmurhash.v3(name);
  cachedHashes.set(name, hash);
  return hash;
}

/** Creates a candidate. @public */
export function createCandidate(
  name: string,
  availabilityZone: string,
): RendezvousCandidate {
  return {name, availabilityZone, hash: computeHash(name)};
}

/**
 * Combines the hashes of a key and a candidate with the finalizer of
 * MurmurHash3, which is much cheaper than hashing the concatenated text.
 *
 * @public
 */
export function computeScore(keyHash: number, candidateHash: number): number {
  let mixed = Math.imul(keyHash ^ 0x9e3779b9, 0x85ebca6b) ^ candidateHash;
  mixed ^= mixed >>> 16;
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  mixed ^= mixed >>> 16;
  return mixed >>> 0;
}

/**
 * The candidate with the highest score for a key; null if there is none.
 *
 * @public
 */
export function findBest(
  keyHash: number,
  candidates: readonly RendezvousCandidate[],
): RendezvousCandidate | null {
  let best: RendezvousCandidate | null = null;
  let bestScore = -1;
  for (const candidate of candidates) {
    const score = computeScore(keyHash, candidate.hash);
    if (isRankedBefore(score, candidate, bestScore, best)) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

/**
 * The first `count` candidates for a key, spread over the availability zones:
 * the best of each zone in the order of their scores, then the second of each
 * zone, and so on.
 *
 * @public
 */
export function selectSpread(
  keyHash: number,
  zones: ReadonlyMap<string, readonly RendezvousCandidate[]>,
  count: number,
): readonly RendezvousCandidate[] {
  const rounds = countRounds(zones, count);
  const ranked: RankedCandidate[] = [];
  for (const candidates of zones.values()) {
    ranked.push(...rankWithinZone(keyHash, candidates, rounds));
  }
  ranked.sort(compareRanked);
  return ranked.slice(0, count).map(entry => entry.candidate);
}

/** Groups candidates by availability zone. @public */
export function groupByZone(
  candidates: readonly RendezvousCandidate[],
): ReadonlyMap<string, readonly RendezvousCandidate[]> {
  const zones = new Map<string, RendezvousCandidate[]>();
  for (const candidate of candidates) {
    const zone = zones.get(candidate.availabilityZone);
    if (zone === undefined) {
      zones.set(candidate.availabilityZone, [candidate]);
      continue;
    }
    zone.push(candidate);
  }
  return zones;
}

interface ScoredCandidate {
  readonly candidate: RendezvousCandidate;
  readonly score: number;
}

interface RankedCandidate extends ScoredCandidate {
  /** Rank within the candidate's zone, from 0. */
  readonly round: number;
}

/** Maximum number of candidates of one zone among the first `count`. */
function countRounds(
  zones: ReadonlyMap<string, readonly RendezvousCandidate[]>,
  count: number,
): number {
  for (let rounds = 1; rounds < count; rounds++) {
    let available = 0;
    for (const candidates of zones.values()) {
      available += Math.min(rounds, candidates.length);
    }
    if (available >= count) {
      return rounds;
    }
  }
  return count;
}

/** The first `rounds` candidates of one zone. */
function rankWithinZone(
  keyHash: number,
  candidates: readonly RendezvousCandidate[],
  rounds: number,
): readonly RankedCandidate[] {
  const best: ScoredCandidate[] = [];
  for (const candidate of candidates) {
    const score = computeScore(keyHash, candidate.hash);
    const last = best[rounds - 1];
    if (last !== undefined && score < last.score) {
      continue;
    }
    best.push({candidate, score});
    best.sort(compareScored);
    if (best.length > rounds) {
      best.pop();
    }
  }
  return best.map((entry, round) => ({...entry, round}));
}

function compareRanked(left: RankedCandidate, right: RankedCandidate): number {
  return left.round - right.round || compareScored(left, right);
}

function compareScored(left: ScoredCandidate, right: ScoredCandidate): number {
  if (left.score !== right.score) {
    return right.score - left.score;
  }
  return left.candidate.name < right.candidate.name ? -1 : 1;
}

function isRankedBefore(
  score: number,
  candidate: RendezvousCandidate,
  bestScore: number,
  best: RendezvousCandidate | null,
): boolean {
  if (best === null || score !== bestScore) {
    return score > bestScore;
  }
  return candidate.name < best.name;
}
