import type {Clock} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {InstanceConnector} from './instance_connector.js';
import {
  InstanceClient,
  type InstanceClientListener,
} from './instance_client.js';

/** Options shared by the instance clients of a group. @internal */
export interface InstanceClientsOptions {
  readonly connector: InstanceConnector;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly listener: InstanceClientListener;
}

/** Intervals between two polls of the primary and of a replica. */
const PRIMARY_POLL_INTERVAL_MS = 200;
const REPLICA_POLL_INTERVAL_MS = 500;

/** Interval for a group that this proxy neither uses nor monitors. */
const IDLE_POLL_INTERVAL_MS = 1000;

/** The clients of the instances of one group. @internal */
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

  /** Adds clients for new instances and disposes those of removed ones. */
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

  /** Keeps the connection to the primary, or to all instances if `isAll`. */
  setWanted(primary: BackendServerId | null, isAll: boolean): void {
    this.primary = primary;
    for (const [name, client] of this.clients) {
      client.setWanted(isAll || name === primary);
    }
  }

  /**
   * Polls the connected instances whose poll interval has elapsed. The interval
   * is longer while the group is idle.
   */
  pollDue(isIdle: boolean): void {
    for (const [name, client] of this.clients) {
      client.pollIfDue(getPollIntervalMs(name === this.primary, isIdle));
    }
  }

  dispose(): void {
    for (const client of this.clients.values()) {
      client.dispose();
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
