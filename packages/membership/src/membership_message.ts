import type {MemberRecord} from './member.js';

/**
 * Membership part of a heartbeat or of the response to one.
 *
 * @public
 */
export interface MembershipMessage {
  readonly sender: MemberRecord;
  /** Hash of the sender's table of live and leaving members. */
  readonly membersDigest: number;
  readonly updates: readonly MemberRecord[];
}
