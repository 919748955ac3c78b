import type {MemberRecord} from '@filbertrun/membership/member.js';
import type {MembershipTransport} from '@filbertrun/membership/membership_manager.js';
import type {MembershipMessage} from '@filbertrun/membership/membership_message.js';
import type {EntryVmId} from '@filbertrun/model/identifiers.js';
import type {Heartbeat} from './peer_protocol.js';
import type {PeerTransport} from './peer_transport.js';

/**
 * Sends membership messages to peers. Heartbeats also carry the configuration
 * version and the digest of the group views.
 *
 * @public
 */

/** Adds fields to heartbeats and handles those of peers. @public */
export interface HeartbeatExtension {
  createHeartbeat(message: MembershipMessage): Heartbeat;
  handleResponse(heartbeat: Heartbeat): void;
}

/** Timeout of a heartbeat. */
const HEARTBEAT_TIMEOUT_MS = 1000;

/** Timeout for asking a peer when it last heard from another member. */
const LAST_CONTACT_TIMEOUT_MS = 500;

/** Timeout for a peer to return its member table. */
const MEMBERS_TIMEOUT_MS = 3000;

/** Sends membership messages over a peer transport. @public */
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
    const response = await this.transport.call(
      peerUrl,
      'heartbeat',
      this.extension.createHeartbeat(message),
      HEARTBEAT_TIMEOUT_MS,
    );
    if (!response.ok) {
      return null;
    }
    this.extension.handleResponse(response.value);
    return response.value;
  }

  async askSilence(
    peerUrl: string,
    subject: EntryVmId,
  ): Promise<{readonly silentForMs: number | null} | null> {
    const response = await this.transport.call(
      peerUrl,
      'askSilence',
      {entryVm: subject},
      LAST_CONTACT_TIMEOUT_MS,
    );
    return response.ok ? response.value : null;
  }

  async getMembers(peerUrl: string): Promise<readonly MemberRecord[] | null> {
    const response = await this.transport.call(
      peerUrl,
      'getMembers',
      {},
      MEMBERS_TIMEOUT_MS,
    );
    return response.ok ? response.value : null;
  }
}
