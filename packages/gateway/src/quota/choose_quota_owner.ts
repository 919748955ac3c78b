import {computeHash, computeScore} from '@filbertrun/membership/rendezvous.js';
import type {EntryVmRecord} from '../control/control_record.js';
import {REGISTRATION_GAP_MS} from '../control/entry_vm_registration.js';

/**
 * Chooses the quota owner of a partition in an availability zone by rendezvous
 * hashing among the registered proxies.
 *
 * At most one proxy of a zone acts as the owner:
 * - A proxy acts only by registrations that are at most `VIEW_VALIDITY_MS` old,
 *   and only once it has been registered for longer than that. So when it begins
 *   to act, each other proxy that still acts has seen its registration.
 * - It acts only until its own registration counts as interrupted. The others
 *   regard it as a candidate for `VIEW_VALIDITY_MS` longer, because they may not
 *   have seen its last renewal.
 */

/** Maximum age of the registrations by which a proxy acts as owner. @public */
export const VIEW_VALIDITY_MS = 20_000;

/** Margin for the latency of a read of the store. @public */
export const VIEW_MARGIN_MS = 1_000;

/** Inputs of {@link chooseQuotaOwner}. @public */
export interface QuotaOwnerInputs {
  readonly partition: string;
  readonly availabilityZone: string;
  readonly entryVms: readonly EntryVmRecord[];
  /** Current time on the store's clock. */
  readonly storeNowMs: number;
}

/** Returns the quota owner, or null if there is no candidate. @public */
export function chooseQuotaOwner(
  inputs: QuotaOwnerInputs,
): EntryVmRecord | null {
  const {availabilityZone, entryVms, storeNowMs} = inputs;
  const keyHash = computeHash(inputs.partition);
  let best: EntryVmRecord | null = null;
  let bestScore = -1;
  for (const record of entryVms) {
    if (record.availabilityZone !== availabilityZone) {
      continue;
    }
    if (!isCandidate(record, storeNowMs)) {
      continue;
    }
    const score = computeScore(keyHash, computeHash(record.entryVm));
    const isTieWon = score === bestScore && isNamedBefore(record, best);
    if (score > bestScore || isTieWon) {
      best = record;
      bestScore = score;
    }
  }
  return best;
}

/** Inputs of {@link mayActAsOwner}. @public */
export interface OwnershipInputs extends QuotaOwnerInputs {
  readonly self: {readonly entryVm: string; readonly incarnation: string};
  /** Time since the start of the read that showed `entryVms`. */
  readonly viewAgeMs: number;
}

/** Whether this proxy may grant permits of the zone's share. @public */
export function mayActAsOwner(inputs: OwnershipInputs): boolean {
  const {self, viewAgeMs, storeNowMs} = inputs;
  const owner = chooseQuotaOwner(inputs);
  if (owner === null || viewAgeMs > VIEW_VALIDITY_MS) {
    return false;
  }
  const isSelf =
    owner.entryVm === self.entryVm && owner.incarnation === self.incarnation;
  // It acts for a shorter time than others regard it as the owner.
  return (
    isSelf &&
    isRegisteredLongEnough(owner, storeNowMs - VIEW_MARGIN_MS) &&
    storeNowMs + VIEW_MARGIN_MS <= owner.leaseEndStoreMs + REGISTRATION_GAP_MS
  );
}

function isCandidate(record: EntryVmRecord, storeNowMs: number): boolean {
  const candidateUntilMs =
    record.leaseEndStoreMs + REGISTRATION_GAP_MS + VIEW_VALIDITY_MS;
  return (
    isRegisteredLongEnough(record, storeNowMs) && storeNowMs <= candidateUntilMs
  );
}

function isRegisteredLongEnough(
  {registeredSinceStoreMs}: EntryVmRecord,
  storeNowMs: number,
): boolean {
  return (
    registeredSinceStoreMs !== null &&
    registeredSinceStoreMs + VIEW_VALIDITY_MS <= storeNowMs
  );
}

function isNamedBefore(
  record: EntryVmRecord,
  other: EntryVmRecord | null,
): boolean {
  return other !== null && record.entryVm < other.entryVm;
}
