import {SystemClock, type Clock} from '@filbertrun/base/clock.js';
import {InMemoryPlatformService} from '@filbertrun/platform/in_memory_platform_service.js';
import type {AdminCommand} from './admin_command.js';
import {ALL_INSTANCES} from './admin_command.js';
import {AdminServer} from './admin_server.js';
import {DatabaseGroupCluster} from './database_group_cluster.js';
import {
  createInitialConfiguration,
  seedConfiguration,
} from './initial_configuration.js';
import type {InstanceLimits} from './instance_core.js';
import type {InstanceHost} from './instance_host.js';
import {PeerRelay} from './peer_relay.js';
import {PlatformServer} from './platform_server.js';
import {listPresetInstances, type Preset} from './presets.js';
import {ScramVerifier} from './scram_verifier.js';
import {describeState} from './system_state.js';
import {PLATFORM_ZONE, ZoneNetwork} from './zone_network.js';

/** Options of a stand-in process. @public */
export interface StandinOptions {
  readonly preset: Preset;
  readonly host: string;
  /** First port; null selects free ports. */
  readonly portBase: number | null;
  /** User name that the instances accept. */
  readonly user: string;
  readonly password: string;
}

/**
 * Ports reserved for instances, from the first port on. The ports of the
 * platform and of the admin interface follow them.
 *
 * @public
 */
export const INSTANCE_PORT_COUNT = 9;

/** Longest wait for a row locked by another transaction. */
const LOCK_TIMEOUT_MS = 10_000;

/** Delay until a change of the VMs appears in the platform's list. */
const VM_LIST_LAG_MS = 200;

/** URLs of a running stand-in. @public */
export interface StandinAddresses {
  readonly platformUrl: string;
  readonly adminUrl: string;
}

/**
 * Simulates the database groups, the platform and the network of a deployment
 * in one process.
 *
 * @public
 */
export class StandinSystem {
  private readonly clock: Clock = SystemClock.create();
  private readonly network: ZoneNetwork;
  private readonly platform: InMemoryPlatformService;
  private readonly platformServer: PlatformServer;
  private readonly adminServer: AdminServer;
  private readonly relay: PeerRelay;
  private readonly groups: readonly DatabaseGroupCluster[];

  private constructor(private readonly options: StandinOptions) {
    const {availabilityZones, zoneLatencyMs} = options.preset;
    this.network = ZoneNetwork.create({availabilityZones, zoneLatencyMs});
    this.platform = InMemoryPlatformService.create({clock: this.clock});
    this.platform.setVmListLagMs(VM_LIST_LAG_MS);
    this.relay = PeerRelay.create(this.network);
    this.platformServer = PlatformServer.create({
      platform: this.platform,
      network: this.network,
      getRelayUrl: vm => this.relay.getRelayUrl(vm),
    });
    this.adminServer = AdminServer.create({
      runCommand: command => this.runCommand(command),
      getState: () => describeState(this.network, this.groups),
    });
    this.groups = this.createGroups();
  }

  static create(options: StandinOptions): StandinSystem {
    return new StandinSystem(options);
  }

  /**
   * Starts all servers, creates the preset's tables and stores its initial
   * configuration.
   */
  async start(): Promise<StandinAddresses> {
    const {preset, host} = this.options;
    for (const group of this.groups) {
      await group.start();
      this.createTables(group);
    }
    const configuration = createInitialConfiguration(preset, backendServer => ({
      host,
      port: this.getHost(backendServer).getPort(),
    }));
    await seedConfiguration(configuration, this.platform);
    const platformUrl = await this.platformServer.listen(
      host,
      this.getPort(INSTANCE_PORT_COUNT),
    );
    const adminUrl = await this.adminServer.listen(
      host,
      this.getPort(INSTANCE_PORT_COUNT + 1),
    );
    return {platformUrl, adminUrl};
  }

  getPlatform(): InMemoryPlatformService {
    return this.platform;
  }

  getHost(backendServer: string): InstanceHost {
    const [host] = this.findHosts(backendServer);
    if (host === undefined) {
      throw new Error(`unknown instance "${backendServer}"`);
    }
    return host;
  }

  /** Executes a command of the admin interface. */
  async runCommand(command: AdminCommand): Promise<void> {
    switch (command.kind) {
      case 'crash':
        return this.forEachHost(command.instance, host => host.crash());
      case 'restart':
        for (const host of this.requireHosts(command.instance)) {
          await host.restart();
        }
        return;
      case 'pause': {
        const {isPaused} = command;
        return this.forEachHost(command.instance, host =>
          host.setFaults({isPaused}),
        );
      }
      case 'isolate': {
        const {isIsolated} = command;
        return this.forEachHost(command.instance, host =>
          host.setFaults({isIsolated}),
        );
      }
      case 'cut':
        return this.cut(command);
      case 'heal':
        return this.heal();
      case 'lag':
        return this.setLag(command.instance, command.lagMs);
      case 'limits':
        return this.setLimits(command);
      case 'latency':
        this.network.setZoneLatencyMs(command.zoneLatencyMs);
        return;
      case 'answers':
        return this.forEachHost(command.instance, host => {
          const {answerDelayMs, answersToDrop} = host.getFaults();
          host.setFaults({
            answerDelayMs: command.delayMs ?? answerDelayMs,
            answersToDrop: command.answersToDrop ?? answersToDrop,
          });
        });
      case 'platform':
        return this.changePlatform(command);
    }
  }

  dispose(): void {
    this.adminServer.dispose();
    this.platformServer.dispose();
    this.relay.dispose();
    for (const group of this.groups) {
      group.dispose();
    }
  }

  private createGroups(): readonly DatabaseGroupCluster[] {
    const {preset, host, user, password} = this.options;
    const instances = listPresetInstances(preset);
    const verifier = ScramVerifier.create(password);
    const limits: InstanceLimits = {
      slots: preset.slots,
      maxConnections: preset.maxConnections,
      connectTimeMs: preset.connectTimeMs,
      serviceTimeMs: 0,
      lockTimeoutMs: LOCK_TIMEOUT_MS,
    };
    return preset.databaseGroups.map(databaseGroup =>
      DatabaseGroupCluster.create({
        instances: instances.filter(
          instance => instance.databaseGroup === databaseGroup,
        ),
        limits,
        rules: {user, verifier, databaseGroup},
        network: this.network,
        clock: this.clock,
        host,
        getPort: backendServer =>
          this.getPort(
            instances.findIndex(
              instance => instance.backendServer === backendServer,
            ),
          ),
      }),
    );
  }

  private getPort(offset: number): number {
    const {portBase} = this.options;
    return portBase === null ? 0 : portBase + offset;
  }

  private createTables(group: DatabaseGroupCluster): void {
    for (const {backendServer, isFirstPrimary} of group.getInstances()) {
      if (isFirstPrimary) {
        const core = group.getHost(backendServer).getCore();
        for (const sql of this.options.preset.initialStatements) {
          core.runStatement(sql);
        }
      }
    }
  }

  private findHosts(instance: string): readonly InstanceHost[] {
    const hosts: InstanceHost[] = [];
    for (const group of this.groups) {
      for (const {backendServer} of group.getInstances()) {
        if (instance === ALL_INSTANCES || instance === backendServer) {
          hosts.push(group.getHost(backendServer));
        }
      }
    }
    return hosts;
  }

  private requireHosts(instance: string): readonly InstanceHost[] {
    const hosts = this.findHosts(instance);
    if (hosts.length === 0) {
      throw new Error(`unknown instance "${instance}"`);
    }
    return hosts;
  }

  private forEachHost(
    instance: string,
    action: (host: InstanceHost) => void,
  ): void {
    for (const host of this.requireHosts(instance)) {
      action(host);
    }
  }

  private cut(command: Extract<AdminCommand, {kind: 'cut'}>): void {
    const {from, to, isCut, isTwoWay} = command;
    const zones = [...this.network.getAvailabilityZones(), PLATFORM_ZONE];
    if (!zones.includes(from) || !zones.includes(to)) {
      throw new Error(`unknown availability zone "${from}" or "${to}"`);
    }
    this.network.setCut(from, to, isCut);
    if (isTwoWay) {
      this.network.setCut(to, from, isCut);
    }
  }

  private heal(): void {
    this.network.healAll();
    this.forEachHost(ALL_INSTANCES, host =>
      host.setFaults({
        isPaused: false,
        isIsolated: false,
        answerDelayMs: 0,
        answersToDrop: 0,
      }),
    );
  }

  private setLag(instance: string, lagMs: number): void {
    this.requireHosts(instance);
    for (const group of this.groups) {
      for (const {backendServer} of group.getInstances()) {
        if (instance === ALL_INSTANCES || instance === backendServer) {
          group.setLagMs(backendServer, lagMs);
        }
      }
    }
  }

  private setLimits(command: Extract<AdminCommand, {kind: 'limits'}>): void {
    this.forEachHost(command.instance, host => {
      const core = host.getCore();
      const limits = core.getLimits();
      core.setLimits({
        slots: command.slots ?? limits.slots,
        maxConnections: command.maxConnections ?? limits.maxConnections,
        connectTimeMs: command.connectTimeMs ?? limits.connectTimeMs,
        serviceTimeMs: command.serviceTimeMs ?? limits.serviceTimeMs,
        lockTimeoutMs: command.lockTimeoutMs ?? limits.lockTimeoutMs,
      });
    });
  }

  private changePlatform(
    command: Extract<AdminCommand, {kind: 'platform'}>,
  ): void {
    if (command.isDown !== undefined) {
      this.platform.setOutage(command.isDown);
    }
    if (command.latencyMs !== undefined) {
      this.platform.setLatencyMs(command.latencyMs);
    }
    if (command.vmListLagMs !== undefined) {
      this.platform.setVmListLagMs(command.vmListLagMs);
    }
    if (command.losesNextAnswer === true) {
      this.platform.dropNextResponse();
    }
  }
}
