import type {Clock} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {InstanceConnector} from './instance_connector.js';
import {
  InstanceClient,
  type InstanceClientListener,
} from './instance_client.js';

/** What the links of a group share. @internal */
export interface InstanceClientsOptions {
  readonly connector: InstanceConnector;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly listener: InstanceClientListener;
}

/** Pause between two polls of the primary and of a replica. */
const PRIMARY_POLL_INTERVAL_MS = 200;
const REPLICA_POLL_INTERVAL_MS = 500;

/** The same for the primary of a group that nobody uses or watches here. */
const IDLE_POLL_INTERVAL_MS = 1000;

/** The control connections to the instances of one group. @internal */
export class InstanceClients {
  private readonly clients = new Map<BackendServerId, InstanceClient>();
  private primary: BackendServerId | null = null;

  private constructor(private readonly options: InstanceClientsOptions) {}

  static create(
    servers: readonly BackendServer[],
    options: InstanceClientsOptions,
  ): InstanceClients {
    const clients = new InstanceClients(options);
    clients.setServers(servers);
    return clients;
  }

  get(backendServer: BackendServerId): InstanceClient | null {
    return this.clients.get(backendServer) ?? null;
  }

  /** Adds links to new instances and ends those to instances that went. */
  setServers(servers: readonly BackendServer[]): void {
    const names = new Set(servers.map(server => server.backendServer));
    for (const [name, client] of this.clients) {
      if (!names.has(name)) {
        client.dispose();
        this.clients.delete(name);
      }
    }
    for (const server of servers) {
      this.addServer(server);
    }
  }

  /** Holds the connection to the primary, and to all when `isAll`. */
  setWanted(primary: BackendServerId | null, isAll: boolean): void {
    this.primary = primary;
    for (const [name, link] of this.clients) {
      link.setWanted(isAll || name === primary);
    }
  }

  /**
   * Polls the instances whose last answer is due for renewal; rarely while the
   * group is idle.
   */
  pollDue(isIdle: boolean): void {
    for (const [name, link] of this.clients) {
      link.pollIfDue(getPollIntervalMs(name === this.primary, isIdle));
    }
  }

  dispose(): void {
    for (const link of this.clients.values()) {
      link.dispose();
    }
    this.clients.clear();
  }

  private addServer(server: BackendServer): void {
    const existing = this.clients.get(server.backendServer);
    const known = existing?.getServer();
    if (known?.host === server.host && known.port === server.port) {
      return;
    }
    existing?.dispose();
    this.clients.set(
      server.backendServer,
      InstanceClient.create({...this.options, server}),
    );
  }
}

function getPollIntervalMs(isPrimary: boolean, isIdle: boolean): number {
  if (isIdle) {
    return IDLE_POLL_INTERVAL_MS;
  }
  return isPrimary ? PRIMARY_POLL_INTERVAL_MS : REPLICA_POLL_INTERVAL_MS;
}
