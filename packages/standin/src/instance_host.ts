import {randomInt} from 'node:crypto';
import net from 'node:net';
import type {Clock} from '@filbertrun/base/clock.js';
import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import type {Commit} from './database.js';
import {
  FaultInjectingSocket,
  type SocketConditions,
} from './fault_injecting_socket.js';
import type {InstanceCore} from './instance_core.js';
import type {ReplicationMessage} from './replication_message.js';
import type {LoginRules} from './session_startup.js';
import {WireSession} from './wire_session.js';
import type {ZoneNetwork} from './zone_network.js';

/** Options of an instance host. @internal */
export interface InstanceHostOptions {
  readonly core: InstanceCore;
  readonly rules: LoginRules;
  readonly availabilityZone: AvailabilityZone;
  readonly network: ZoneNetwork;
  readonly clock: Clock;
  readonly host: string;
  /** Port to listen on; 0 selects a free port. */
  readonly port: number;
}

/** Faults that are injected into an instance. @internal */
export interface InstanceFaults {
  readonly isCrashed: boolean;
  readonly isPaused: boolean;
  /** Whether replication traffic to and from its peers is dropped. */
  readonly isIsolated: boolean;
  /** Delay of everything that the instance sends on its connections. */
  readonly answerDelayMs: number;
  /**
   * Number of further commits whose connection breaks before their response is
   * sent.
   */
  readonly answersToDrop: number;
}

const NO_FAULTS: InstanceFaults = {
  isCrashed: false,
  isPaused: false,
  isIsolated: false,
  answerDelayMs: 0,
  answersToDrop: 0,
};

/** Exclusive upper bound of the secret keys for cancel requests. */
const MAX_SECRET_KEY = 2 ** 31 - 1;

/** Serves an instance on a port and injects its faults. @internal */
export class InstanceHost {
  private faults: InstanceFaults = NO_FAULTS;
  private server: net.Server | null = null;
  private port: number;
  private readonly sockets = new Set<FaultInjectingSocket>();
  /** Messages that arrived while the instance was paused. */
  private readonly inbox: ReplicationMessage<Commit>[] = [];
  private readonly unsubscribe: () => void;

  private constructor(private readonly options: InstanceHostOptions) {
    this.port = options.port;
    this.unsubscribe = options.network.onChange(() => this.updateSockets());
  }

  static create(options: InstanceHostOptions): InstanceHost {
    return new InstanceHost(options);
  }

  getCore(): InstanceCore {
    return this.options.core;
  }

  getAvailabilityZone(): AvailabilityZone {
    return this.options.availabilityZone;
  }

  getFaults(): InstanceFaults {
    return this.faults;
  }

  getPort(): number {
    return this.port;
  }

  /** Starts accepting connections. */
  async listen(): Promise<void> {
    const server = net.createServer({allowHalfOpen: true}, socket =>
      this.handleConnection(socket),
    );
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, this.options.host, resolve);
    });
    const address = server.address();
    if (address !== null && typeof address === 'object') {
      this.port = address.port;
    }
  }

  /** Changes the faults other than a crash. */
  setFaults(change: Partial<Omit<InstanceFaults, 'isCrashed'>>): void {
    this.faults = {...this.faults, ...change};
    this.options.core.setPaused(this.faults.isPaused);
    this.updateSockets();
    if (this.faults.isPaused) {
      return;
    }
    for (const message of this.inbox.splice(0)) {
      this.options.core.handleReplicationMessage(message);
    }
  }

  /** Simulates a crash: breaks all connections and closes the port. */
  crash(): void {
    if (this.faults.isCrashed) {
      return;
    }
    this.faults = {...this.faults, isCrashed: true};
    this.inbox.length = 0;
    for (const socket of this.sockets) {
      socket.destroy();
    }
    this.sockets.clear();
    this.server?.close();
    this.server = null;
    this.options.core.crash();
  }

  /** Restarts a crashed instance with its previous log, term and role. */
  async restart(): Promise<void> {
    if (!this.faults.isCrashed) {
      return;
    }
    await this.listen();
    this.faults = {...this.faults, isCrashed: false};
    this.options.core.restart();
  }

  /** Handles a message from another instance of the group. */
  handleReplicationMessage(message: ReplicationMessage<Commit>): void {
    if (this.faults.isCrashed || this.faults.isIsolated) {
      return;
    }
    if (this.faults.isPaused) {
      this.inbox.push(message);
      return;
    }
    this.options.core.handleReplicationMessage(message);
  }

  dispose(): void {
    this.unsubscribe();
    this.crash();
  }

  private updateSockets(): void {
    for (const socket of this.sockets) {
      socket.update();
    }
  }

  private handleConnection(socket: net.Socket): void {
    const {core, rules, clock, network} = this.options;
    const remoteZone = network.findZoneOfAddress(socket.remoteAddress);
    const session = WireSession.create({
      core,
      rules,
      transport: {
        write: (bytes, hasCommit) => this.write(clientSocket, bytes, hasCommit),
        end: () => clientSocket.end(),
      },
      defer: callback => setImmediate(callback),
      createSecretKey: () => randomInt(MAX_SECRET_KEY),
    });
    const listener = {
      handleData: (chunk: Buffer) => session.handleData(chunk),
      handleDrained: () => session.handleDrained(),
      handleClosed: () => session.handleClosed(),
    };
    const conditions = this.createSocketConditions(remoteZone);
    const clientSocket: FaultInjectingSocket = FaultInjectingSocket.create(
      socket,
      conditions,
      listener,
      clock,
    );
    this.sockets.add(clientSocket);
    socket.on('close', () => this.sockets.delete(clientSocket));
  }

  private write(
    socket: FaultInjectingSocket,
    bytes: Buffer,
    hasCommit: boolean,
  ): boolean {
    if (hasCommit && this.faults.answersToDrop > 0) {
      const answersToDrop = this.faults.answersToDrop - 1;
      this.faults = {...this.faults, answersToDrop};
      socket.destroy();
      return true;
    }
    return socket.write(bytes);
  }

  private createSocketConditions(
    remoteZone: AvailabilityZone | null,
  ): SocketConditions {
    const {network, availabilityZone} = this.options;
    return {
      canReceive: () =>
        !this.faults.isPaused && !network.isCut(remoteZone, availabilityZone),
      canSend: () =>
        !this.faults.isPaused && !network.isCut(availabilityZone, remoteZone),
      getReceiveDelayMs: () =>
        network.getRoundTripMs(remoteZone, availabilityZone),
      getSendDelayMs: () => this.faults.answerDelayMs,
    };
  }
}
