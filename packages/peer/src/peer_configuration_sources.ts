import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {ConfigurationPointer} from '@filbertrun/configuration/configuration_pointer.js';
import type {
  ConfigurationPeers,
  ConfigurationSource,
  SourceError,
} from '@filbertrun/configuration/configuration_source.js';
import type {MembershipManager} from '@filbertrun/membership/membership_manager.js';
import type {EntryVmId} from '@filbertrun/model/identifiers.js';
import {describePeerError, type PeerTransport} from './peer_transport.js';

/**
 * Fetches the configuration from the neighbours of a proxy.
 *
 * @public
 */

/** Timeout for a peer to return its configuration pointer. */
const POINTER_TIMEOUT_MS = 1000;

/** Timeout for a peer to return a configuration body. */
const BODY_TIMEOUT_MS = 3000;

/** Provides the neighbours of a proxy as configuration sources. @public */
export class PeerConfigurationSources implements ConfigurationPeers {
  private constructor(
    private readonly transport: PeerTransport,
    private readonly membership: MembershipManager,
  ) {}

  static create(
    transport: PeerTransport,
    membership: MembershipManager,
  ): PeerConfigurationSources {
    return new PeerConfigurationSources(transport, membership);
  }

  listPeers(): readonly EntryVmId[] {
    return this.membership.getNeighbours().map(record => record.entryVm);
  }

  getSource(entryVm: EntryVmId): ConfigurationSource | null {
    const member = this.membership.getMember(entryVm);
    return member === null
      ? null
      : PeerConfigurationSource.create(this.transport, member.peerUrl);
  }

  getProxyCount(): number {
    return this.membership.getPresentMembers().length;
  }
}

/** Fetches the configuration from one peer. */
class PeerConfigurationSource implements ConfigurationSource {
  private constructor(
    private readonly transport: PeerTransport,
    private readonly peerUrl: string,
  ) {}

  static create(
    transport: PeerTransport,
    peerUrl: string,
  ): PeerConfigurationSource {
    return new PeerConfigurationSource(transport, peerUrl);
  }

  async getPointer(): Promise<
    Result<ConfigurationPointer | null, SourceError>
  > {
    const response = await this.transport.call(
      this.peerUrl,
      'getConfigurationPointer',
      {},
      POINTER_TIMEOUT_MS,
    );
    if (!response.ok) {
      const reason = describePeerError(response.error);
      return failure({kind: 'sourceFailed', reason});
    }
    if (response.value.kind === 'notReady') {
      return failure({kind: 'sourceFailed', reason: 'the peer is starting'});
    }
    return success(response.value.pointer);
  }

  async getBody(
    objectName: string,
  ): Promise<Result<string | null, SourceError>> {
    const response = await this.transport.call(
      this.peerUrl,
      'getConfigurationBody',
      {objectName},
      BODY_TIMEOUT_MS,
    );
    if (!response.ok) {
      const reason = describePeerError(response.error);
      return failure({kind: 'sourceFailed', reason});
    }
    return success(response.value.body);
  }
}
