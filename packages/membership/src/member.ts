import {z} from 'zod';

/**
 * What proxies tell each other of the VMs that run the system.
 *
 * @public
 */

/**
 * State of a member: `live`; `leaving` while it drains; `left` after its
 * graceful end; `dead` after a confirmed suspicion.
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
     * Orders the lives of a VM, and the states of one life: it is drawn from
     * the start time, and raised when the member refutes its own death.
     */
    incarnation: z.number().int().nonnegative(),
    state: z.enum(['live', 'leaving', 'left', 'dead']),
  })
  .readonly();

/** A member as proxies tell each other of it. @public */
export type MemberRecord = z.infer<typeof memberRecordSchema>;

/** Most member records in one heartbeat. @public */
export const MAX_UPDATES_PER_HEARTBEAT = 6;

const STATE_ORDER: Readonly<Record<MemberState, number>> = {
  live: 0,
  leaving: 1,
  dead: 2,
  left: 3,
};

/**
 * Whether a record replaces the one that is held: a higher incarnation does,
 * and within one incarnation the later state.
 *
 * @public
 */
export function supersedes(record: MemberRecord, held: MemberRecord): boolean {
  if (record.incarnation !== held.incarnation) {
    return record.incarnation > held.incarnation;
  }
  return STATE_ORDER[record.state] > STATE_ORDER[held.state];
}
