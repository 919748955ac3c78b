import net from 'node:net';
import type {Instance} from './instance.js';
import {
  formatComplete,
  formatError,
  formatLines,
  formatPosition,
  formatReady,
  formatResultRow,
  formatStatus,
  parseInstanceMessage,
  type InstanceMessage,
} from './instance_codec.js';
import {LineSplitter} from './lines.js';
import {GatedSocket, type LinkEnd, type Links} from './links.js';
import {listen} from './ports.js';

/** Options of the connections to an instance. @internal */
export interface InstanceServerOptions {
  readonly links: Links;
  /** Returns the proxy of a name. */
  findProxy(name: string): LinkEnd | null;
}

type Statement = Extract<InstanceMessage, {readonly kind: 'statement'}>;

/** Time that an instance works on a statement. */
const WORK_MS = 3;

/** Time after which an unreachable proxy's connection is dropped. */
const DROP_MS = 3_000;

/** Accepts the connections to one address and answers for its instance. @internal */
export class InstanceServer {
  private readonly sockets = new Set<net.Socket>();
  private server: net.Server | null = null;

  private constructor(
    private readonly options: InstanceServerOptions,
    private readonly instance: Instance,
  ) {}

  static create(
    options: InstanceServerOptions,
    instance: Instance,
  ): InstanceServer {
    return new InstanceServer(options, instance);
  }

  async start(): Promise<void> {
    this.server = net.createServer(socket => this.serve(socket));
    const port = await listen(this.server, this.instance.identity.port);
    if (port === null) {
      throw new Error(`the port of ${this.instance.id} is taken`);
    }
  }

  stop(): void {
    this.server?.close();
    for (const socket of this.sockets) {
      socket.resetAndDestroy();
    }
  }

  private serve(socket: net.Socket): void {
    this.sockets.add(socket);
    const splitter = LineSplitter.create();
    const queue: string[] = [];
    let isBusy = false;
    const next = () => {
      const line = queue.shift();
      isBusy = line !== undefined && !socket.destroyed;
      if (line !== undefined && isBusy) {
        this.handle(gate, parseInstanceMessage(line), next);
      }
    };
    const gate = GatedSocket.create(
      socket,
      this.options.links,
      null,
      this.instance,
      chunk => {
        queue.push(...splitter.read(chunk));
        if (!isBusy) {
          next();
        }
      },
    );
    const dropTimer = this.dropWhenCut(socket, gate);
    socket.on('close', () => {
      clearInterval(dropTimer);
      this.sockets.delete(socket);
    });
  }

  private dropWhenCut(socket: net.Socket, gate: GatedSocket): NodeJS.Timeout {
    const {group} = this.instance;
    let cutAtMs: number | null = null;
    return setInterval(() => {
      cutAtMs = gate.isCut ? (cutAtMs ?? group.nowMs()) : null;
      if (cutAtMs !== null && group.nowMs() - cutAtMs >= DROP_MS) {
        socket.destroy();
      }
    }, 200);
  }

  private handle(
    gate: GatedSocket,
    message: InstanceMessage,
    done: () => void,
  ): void {
    const {instance} = this;
    switch (message.kind) {
      case 'connect': {
        const {databaseGroup, sender, expectedId} = message;
        const proxy = this.options.findProxy(sender);
        if (proxy !== null) {
          gate.identify(proxy);
        }
        const isExpected =
          databaseGroup === instance.group.name &&
          (expectedId === null || expectedId === instance.id);
        const line = isExpected
          ? formatReady(this.position)
          : formatError('MOVED', instance.id);
        gate.write(formatLines([line]));
        done();
        return;
      }
      case 'statement':
        setTimeout(() => {
          if (!instance.isAlive) {
            return;
          }
          this.run(message, lines => {
            gate.write(formatLines([...lines, formatReady(this.position)]));
            done();
          });
        }, WORK_MS);
        return;
      case 'other':
        done();
        return;
    }
  }

  /** Position in responses. */
  private get position(): string {
    const {instance} = this;
    const count = instance.statedCount;
    return formatPosition(instance.getLogTerm(count), count);
  }

  private run(
    {id, after, statement}: Statement,
    finish: (lines: readonly string[]) => void,
  ): void {
    const {instance} = this;
    const complete = formatComplete(id === '-' ? '-' : `${instance.id}.${id}`);
    if (after !== null && !instance.covers(...after)) {
      finish([formatError('LAGGING', this.position)]);
      return;
    }
    switch (statement.kind) {
      case 'read': {
        const value = instance.read(statement.item);
        finish([formatResultRow(String(value ?? '-')), complete]);
        return;
      }
      case 'write': {
        const {item, value} = statement;
        if (instance.role !== 'primary') {
          finish([formatError('READONLY', instance.id)]);
          return;
        }
        instance.commit({statementId: id, item, value}, isConfirmed =>
          finish([isConfirmed ? complete : formatError('TIMEOUT', 'replicas')]),
        );
        return;
      }
      case 'status':
      case 'pause':
      case 'resume':
      case 'stepDown':
        instance.group.control(instance, statement.kind, statement.term);
        finish([this.describe(), complete]);
        return;
      case 'local':
        finish([complete]);
        return;
      case 'unsupported':
        finish([formatError('MALFORMED', 'statement')]);
        return;
    }
  }

  private describe(): string {
    const {instance, sockets} = this;
    const {role, term, pausedTerm, log} = instance;
    const position = formatPosition(
      instance.getLogTerm(log.length),
      log.length,
    );
    return formatStatus({
      role,
      term,
      position,
      pausedTerm,
      connections: sockets.size,
    });
  }
}
