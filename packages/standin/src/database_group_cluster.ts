import type {Clock} from '@filbertrun/base/clock.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {Commit} from './database.js';
import {InstanceCore, type InstanceLimits} from './instance_core.js';
import {InstanceHost} from './instance_host.js';
import type {PresetInstance} from './presets.js';
import type {ReplicationMessage} from './replication_message.js';
import type {LoginRules} from './session_startup.js';
import type {ZoneNetwork} from './zone_network.js';

/** Options of a database group. @internal */
export interface DatabaseGroupOptions {
  readonly instances: readonly PresetInstance[];
  readonly limits: InstanceLimits;
  readonly rules: LoginRules;
  readonly network: ZoneNetwork;
  readonly clock: Clock;
  readonly host: string;
  /** Port of an instance; 0 selects a free port. */
  readonly getPort: (backendServer: BackendServerId) => number;
}

/** The instances of one database group and the network between them. @internal */
export class DatabaseGroupCluster {
  private readonly hosts = new Map<BackendServerId, InstanceHost>();
  private readonly lagsMs = new Map<BackendServerId, number>();

  private constructor(private readonly options: DatabaseGroupOptions) {
    for (const instance of options.instances) {
      const host = this.createHost(instance);
      this.hosts.set(instance.backendServer, host);
    }
  }

  static create(options: DatabaseGroupOptions): DatabaseGroupCluster {
    return new DatabaseGroupCluster(options);
  }

  /** Starts accepting connections and starts the first term. */
  async start(): Promise<void> {
    for (const host of this.hosts.values()) {
      await host.listen();
    }
    for (const {backendServer, isFirstPrimary} of this.options.instances) {
      this.getHost(backendServer).getCore().bootstrap(isFirstPrimary);
    }
  }

  getInstances(): readonly PresetInstance[] {
    return this.options.instances;
  }

  getHost(backendServer: BackendServerId): InstanceHost {
    const host = this.hosts.get(backendServer);
    if (host === undefined) {
      throw new Error(`Unknown instance ${backendServer}`);
    }
    return host;
  }

  getLagMs(backendServer: BackendServerId): number {
    return this.lagsMs.get(backendServer) ?? 0;
  }

  /** Sets the delay before a record is sent to a replica. */
  setLagMs(backendServer: BackendServerId, lagMs: number): void {
    this.lagsMs.set(backendServer, lagMs);
  }

  dispose(): void {
    for (const host of this.hosts.values()) {
      host.dispose();
    }
  }

  private createHost(instance: PresetInstance): InstanceHost {
    const {clock, limits, rules, network, host, getPort} = this.options;
    const {backendServer, availabilityZone} = instance;
    const peers = this.options.instances
      .map(peer => peer.backendServer)
      .filter(peer => peer !== backendServer);
    const core = InstanceCore.create({
      backendServer,
      peers,
      clock,
      limits,
      getReplicationLagMs: replica => this.getLagMs(replica),
      sendReplicationMessage: (to, message) =>
        this.send(backendServer, to, message),
      defer: callback => setImmediate(callback),
    });
    return InstanceHost.create({
      core,
      rules,
      availabilityZone,
      network,
      clock,
      host,
      port: getPort(backendServer),
    });
  }

  private send(
    from: BackendServerId,
    to: BackendServerId,
    message: ReplicationMessage<Commit>,
  ): void {
    const source = this.getHost(from);
    const target = this.getHost(to);
    const {network, clock} = this.options;
    const sourceZone = source.getAvailabilityZone();
    const targetZone = target.getAvailabilityZone();
    const isIsolated = source.getFaults().isIsolated;
    if (isIsolated || network.isCut(sourceZone, targetZone)) {
      return;
    }
    const deliver = () => target.handleReplicationMessage(message);
    // The round trip is simulated by delaying only the primary's messages.
    const delayMs =
      message.kind === 'append'
        ? network.getRoundTripMs(sourceZone, targetZone)
        : 0;
    if (delayMs === 0) {
      setImmediate(deliver);
    } else {
      clock.startTimer(delayMs, deliver);
    }
  }
}
