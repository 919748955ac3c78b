import type {MemberRecord} from '@filbertrun/membership/member.js';
import type {MembershipTransport} from '@filbertrun/membership/membership_manager.js';
import type {MembershipMessage} from '@filbertrun/membership/membership_message.js';
import type {EntryVmId} from '@filbertrun/model/identifiers.js';
import type {Heartbeat} from './peer_protocol.js';
import type {PeerTransport} from './peer_transport.js';

/**
 * Carries the messages of membership, and with each heartbeat the rest of
 * what a proxy says of itself.
 *
 * @public
 */

/** Adds to heartbeats and reads what peers add. @public */
export interface HeartbeatExtension {
  createHeartbeat(message: MembershipMessage): Heartbeat;
  handleAnswer(heartbeat: Heartbeat): void;
}

/** Time that a peer has to answer a heartbeat. */
const HEARTBEAT_TIMEOUT_MS = 1000;

/** Time that a peer has to answer a question about another. */
const SILENCE_TIMEOUT_MS = 500;

/** Time that a peer has to send its whole table. */
const MEMBERS_TIMEOUT_MS = 3000;

/** Carries the messages of membership over a peer transport. @public */
export class PeerMembershipTransport implements MembershipTransport {
  private constructor(
    private readonly transport: PeerTransport,
    private readonly extension: HeartbeatExtension,
  ) {}

  static create(
    transport: PeerTransport,
    extension: HeartbeatExtension,
  ): PeerMembershipTransport {
    return new PeerMembershipTransport(transport, extension);
  }

  async sendHeartbeat(
    peerUrl: string,
    message: MembershipMessage,
  ): Promise<MembershipMessage | null> {
    const answer = await this.transport.call(
      peerUrl,
      'heartbeat',
      this.extension.createHeartbeat(message),
      HEARTBEAT_TIMEOUT_MS,
    );
    if (!answer.ok) {
      return null;
    }
    this.extension.handleAnswer(answer.value);
    return answer.value;
  }

  async askSilence(
    peerUrl: string,
    subject: EntryVmId,
  ): Promise<{readonly silentForMs: number | null} | null> {
    const answer = await this.transport.call(
      peerUrl,
      'askSilence',
      {entryVm: subject},
      SILENCE_TIMEOUT_MS,
    );
    return answer.ok ? answer.value : null;
  }

  async getMembers(peerUrl: string): Promise<readonly MemberRecord[] | null> {
    const answer = await this.transport.call(
      peerUrl,
      'getMembers',
      {},
      MEMBERS_TIMEOUT_MS,
    );
    return answer.ok ? answer.value : null;
  }
}
