import type {Clock} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import type {Logger} from '@filbertrun/observability/logger.js';
import type {WriteGap} from '@filbertrun/observability/service_level_snapshot.js';
import {ControlPlane} from '@filbertrun/peer/control_plane.js';
import {PeerServer} from '@filbertrun/peer/peer_server.js';
import {WebSocketTransport} from '@filbertrun/peer/web_socket_transport.js';
import type {PlatformService} from '@filbertrun/platform/platform_service.js';
import {ControlGroupPeers} from './group/control_group_peers.js';
import {GroupRegistry} from './group/group_registry.js';
import {RegistryDelegate} from './group/registry_delegate.js';
import type {ProxySettings} from './proxy_settings.js';

/** Largest fraction of an instance's connections for control connections. */
const MAX_CONTROL_FRACTION = 1 / 3;

/** Options of a proxy's control plane. @public */
export interface ProxyControlOptions {
  readonly settings: ProxySettings;
  /** Services of the platform: table, object store and VM directory. */
  readonly platform: PlatformService;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Records a period in which writes of a group had no primary. */
  readonly recordWriteGap: (gap: WriteGap) => void;
  /** Wall-clock time of the start in milliseconds since 1970. */
  readonly startedAtEpochMs: number;
}

/**
 * The control plane of one proxy and the database groups that it manages.
 *
 * @public
 */
export class ProxyControl {
  private constructor(
    readonly plane: ControlPlane,
    readonly groups: GroupRegistry,
    private readonly transport: WebSocketTransport,
    private readonly peerServer: PeerServer,
  ) {}

  /** Starts the control plane and resolves when peers can connect to it. */
  static async create(options: ProxyControlOptions): Promise<ProxyControl> {
    const {settings, platform, clock, random, logger} = options;
    const {entryVm, availabilityZone, sourceAddress} = settings;
    const transport = WebSocketTransport.create({
      clock,
      secret: settings.peerKey,
      sourceAddress,
      tls: null,
    });
    const peerUrl =
      settings.peerUrl ?? `http://${settings.peerHost}:${settings.peerPort}`;
    const plane = ControlPlane.create({
      identity: {entryVm, availabilityZone, peerUrl},
      startedAtEpochMs: options.startedAtEpochMs,
      platform,
      transport,
      // Peers are found in the platform's list of VMs.
      seedPeerUrls: [],
      clock,
      random,
      logger,
    });
    const peers = ControlGroupPeers.create(plane, transport);
    const groups = GroupRegistry.create({
      entryVm,
      availabilityZone,
      backendUser: settings.backendUser,
      backendPassword: settings.backendPassword,
      sourceAddress,
      connectTimeoutMs: settings.backendConnectTimeoutMs,
      answerSilenceMs: settings.answerSilenceMs,
      platform,
      peers,
      clock,
      random,
      logger,
      recordWriteGap: options.recordWriteGap,
      getConnectionShare: (databaseGroup, server) =>
        getConnectionShare(plane, databaseGroup, server),
      canDispatch: () => plane.canDispatch(),
    });
    plane.setGroupDelegate(RegistryDelegate.create(groups, peers, plane));
    plane.configuration.onChange(value => groups.applyConfiguration(value));
    plane.membership.onChange(() => groups.updateShares());
    const peerServer = await PeerServer.create({
      host: settings.peerHost,
      port: settings.peerPort,
      handler: plane.createHandler(),
      secrets: {
        peerSecret: settings.peerKey,
        operatorSecret: settings.operatorKey,
      },
      tls: null,
      logger,
    });
    return new ProxyControl(plane, groups, transport, peerServer);
  }

  /**
   * Whether the proxy may send work to backend servers and holds its connection
   * shares.
   */
  isReady(): boolean {
    return this.plane.canDispatch() && this.plane.membership.canUseShares();
  }

  /** Announces to other proxies that this one accepts no new work. */
  startLeaving(): void {
    this.plane.membership.startLeaving();
  }

  /** Closes all connections and announces that their shares are free. */
  async dispose(): Promise<void> {
    this.groups.dispose();
    await this.plane.membership.endLeaving();
    this.plane.dispose();
    await this.peerServer.dispose();
    this.transport.dispose();
  }
}

/**
 * Returns how many connections to an instance this proxy may use for callers'
 * statements. The proxies' control connections count towards the same limit.
 */
function getConnectionShare(
  plane: ControlPlane,
  databaseGroup: DatabaseGroupName,
  server: BackendServer,
): number {
  const controlConnections = Math.min(
    plane.membership.getPresentMembers().length,
    Math.floor(server.maxConnections * MAX_CONTROL_FRACTION),
  );
  const maxConnections = server.maxConnections - controlConnections;
  return plane.membership.getShare({databaseGroup, maxConnections});
}
