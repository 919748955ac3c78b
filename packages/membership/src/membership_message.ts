import type {MemberRecord} from './member.js';

/**
 * The part of a heartbeat that membership reads and writes.
 *
 * @public
 */
export interface MembershipMessage {
  readonly sender: MemberRecord;
  /** Hash of the sender's table of live and leaving members. */
  readonly membersDigest: number;
  readonly updates: readonly MemberRecord[];
}
