import {z} from 'zod';

/**
 * Records of the entry VMs, which the proxies exchange.
 *
 * @public
 */

/**
 * State of a member: `live`; `leaving` while it drains; `left` after a
 * graceful shutdown; `dead` after a suspicion was confirmed or timed out.
 *
 * @public
 */
export type MemberState = 'live' | 'leaving' | 'left' | 'dead';

/** Validates a member record. @public */
export const memberRecordSchema = z
  .object({
    entryVm: z.string().min(1).max(64),
    availabilityZone: z.string().min(1).max(64),
    /** Base URL of the member's peer interface. */
    peerUrl: z.string().min(1).max(200),
    /**
     * Orders the records of a VM over restarts of its process and over its
     * states: it is derived from the start time, and raised when the member
     * refutes its own death.
     */
    incarnation: z.number().int().nonnegative(),
    state: z.enum(['live', 'leaving', 'left', 'dead']),
  })
  .readonly();

/** Record of a member, as exchanged between proxies. @public */
export type MemberRecord = z.infer<typeof memberRecordSchema>;

/** Maximum number of member records in one heartbeat. @public */
export const MAX_UPDATES_PER_HEARTBEAT = 6;

const STATE_ORDER: Readonly<Record<MemberState, number>> = {
  live: 0,
  leaving: 1,
  dead: 2,
  left: 3,
};

/**
 * Whether a record replaces the one that is held: it has a higher incarnation,
 * or the same incarnation and a later state.
 *
 * @public
 */
export function supersedes(record: MemberRecord, held: MemberRecord): boolean {
  if (record.incarnation !== held.incarnation) {
    return record.incarnation > held.incarnation;
  }
  return STATE_ORDER[record.state] > STATE_ORDER[held.state];
}
