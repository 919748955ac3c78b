import {Instance, type Commit} from './instance.js';
import {InstanceServer, type InstanceServerOptions} from './instance_server.js';
import {pause} from './pause.js';
import type {RowTable} from './row_table.js';
import {formatInstanceEntry, INSTANCE_TABLE} from './store_codec.js';
import type {Trace} from './trace.js';

/** A group of a primary and its replicas: replication, promotion, members. */

/** Options of a group. @internal */
export interface InstanceGroupOptions extends InstanceServerOptions {
  readonly name: string;
  readonly rows: RowTable;
  readonly trace: Trace;
  /** Called when a promotion takes effect. */
  handlePromotion(target: Instance): void;
}

/** How an instance comes back. @internal */
export interface Return {
  /** Time from its end to its return. */
  readonly downMs: number;
  /** Time from its return until its entry is written. */
  readonly listedAfterMs: number;
  readonly hasNewId: boolean;
}

/** What became of a commit at the instance that ran it. @internal */
export interface CommitRecord {
  readonly instance: Instance;
  readonly term: number;
  confirmedAtMs: number | null;
}

const HEARTBEAT_MS = 1_200;

/** Silence after which an entry expires. */
const EXPIRY_MS = 3 * HEARTBEAT_MS;

/** One way between two instances. */
const NETWORK_MS = 1;

/** Interval at which replicas that lag are sent what they lack. */
const CATCH_UP_MS = 10;

/** Time for which an old primary goes on once it reaches the new one. */
const OLD_PRIMARY_MS = 1_000;

const CAPACITY = 16;

/** One group. @internal */
export class InstanceGroup {
  readonly instances: Instance[] = [];
  /** Time until an accepted promotion takes effect. */
  promotionMs = 300;
  /** Times at which promotions took effect, by term. */
  readonly effectiveAtMs = new Map<number, number>();
  private newestTerm = 1;
  /** The instance of the newest term, running or not. */
  private newestLeader: Instance | null = null;
  private instanceCount = 0;
  private newPrimarySeenAtMs = new Map<Instance, number>();
  private readonly servers = new Map<Instance, InstanceServer>();
  /** Time of the newest write of each entry that is listed. */
  private readonly lastHeartbeatMs = new Map<string, number>();
  private readonly commits = new Map<string, CommitRecord>();
  private readonly timers: NodeJS.Timeout[] = [];

  private constructor(private readonly options: InstanceGroupOptions) {}

  static async start(
    options: InstanceGroupOptions,
    places: readonly {readonly zone: string; readonly port: number}[],
  ): Promise<InstanceGroup> {
    const group = new InstanceGroup(options);
    for (const [index, {zone, port}] of places.entries()) {
      const instance = await group.add(group.createId(), zone, port, []);
      if (index === 0) {
        instance.becomePrimary(1);
        group.newestLeader = instance;
      }
    }
    for (const instance of group.instances) {
      instance.isListed = true;
      if (instance.role === 'replica') {
        instance.upstream = group.newestPrimary;
      }
      group.register(instance);
    }
    group.timers.push(
      setInterval(() => group.catchUp(), CATCH_UP_MS),
      setInterval(() => group.heartbeat(), HEARTBEAT_MS),
    );
    return group;
  }

  get name(): string {
    return this.options.name;
  }

  /** The running primary of the newest term; null if there is none. */
  get newestPrimary(): Instance | null {
    return (
      this.instances.find(
        ({isAlive, role, term}) =>
          isAlive && role === 'primary' && term === this.newestTerm,
      ) ?? null
    );
  }

  /** Log of the newest term's primary, even if that has ended. */
  get newestLog(): readonly Commit[] {
    return this.newestLeader?.log ?? [];
  }

  get liveInstances(): readonly Instance[] {
    return this.instances.filter(({isAlive}) => isAlive);
  }

  nowMs(): number {
    return this.options.trace.nowMs();
  }

  isCut(one: Instance, other: Instance): boolean {
    return this.options.links.isCut(one, other);
  }

  afterNetwork(action: () => void): void {
    setTimeout(action, NETWORK_MS);
  }

  stop(): void {
    for (const timer of this.timers) {
      clearInterval(timer);
    }
    for (const instance of this.liveInstances) {
      this.end(instance);
    }
  }

  /** Notes a commit and, later, its confirmation by a replica. */
  recordCommit(instance: Instance, statementId: string): CommitRecord {
    const record: CommitRecord = {
      instance,
      term: instance.term,
      confirmedAtMs: null,
    };
    this.commits.set(statementId, record);
    return record;
  }

  findCommit(statementId: string): CommitRecord | null {
    return this.commits.get(statementId) ?? null;
  }

  /** Sends the log of a primary to those that follow it. */
  replicate(primary: Instance): void {
    this.afterNetwork(() => {
      for (const replica of this.liveInstances) {
        if (replica.upstream === primary) {
          replica.receive();
        }
      }
    });
  }

  control(
    instance: Instance,
    command: 'status' | 'pause' | 'resume' | 'stepDown',
    term: number,
  ): void {
    const {trace} = this.options;
    switch (command) {
      case 'pause':
        if (term > this.newestTerm && instance.role === 'replica') {
          if (instance.pausedTerm === 0) {
            trace.note(`${describe(instance)} paused for term ${term}`);
          }
          instance.pausedTerm = term;
          trace.emit('pauseReceived');
        }
        return;
      case 'resume':
        instance.pausedTerm = 0;
        return;
      case 'stepDown':
        if (instance.role === 'primary' && instance.term < term) {
          trace.note(`${describe(instance)} steps down for term ${term}`);
          instance.becomeReplica(this.findUpstream(instance));
          trace.emit('stepDownReceived');
        }
        return;
      case 'status':
        return;
    }
  }

  /** Accepts an order to promote; returns the status of the response. */
  promote(id: string): number {
    const target = this.liveInstances.find(instance => instance.id === id);
    if (target === undefined) {
      return 409;
    }
    if (target !== this.newestPrimary) {
      setTimeout(() => this.applyPromotion(target), this.promotionMs);
    }
    return 200;
  }

  private applyPromotion(target: Instance): void {
    if (!target.isAlive || target === this.newestPrimary) {
      return;
    }
    this.newestTerm++;
    this.newPrimarySeenAtMs.clear();
    this.options.trace.note(
      `promotion of ${describe(target)} takes effect, term ${this.newestTerm}`,
    );
    this.effectiveAtMs.set(this.newestTerm, this.nowMs());
    this.newestLeader = target;
    target.becomePrimary(this.newestTerm);
    this.options.handlePromotion(target);
    for (const other of this.liveInstances) {
      // A replica that can't reach the new primary receives from the old one.
      other.pausedTerm = 0;
      if (other.role === 'replica' && !this.isCut(other, target)) {
        other.upstream = target;
        other.receive();
      }
    }
    this.options.trace.emit('promoteEffective');
  }

  /** Ends an instance without notice; `isExpected` removes its entry at once. */
  end(instance: Instance): void {
    instance.isAlive = false;
    this.servers.get(instance)?.stop();
    this.servers.delete(instance);
    this.options.links.refresh();
  }

  /** Ends an instance and brings it back with its log. */
  async restart(instance: Instance, how: Return): Promise<void> {
    const {trace} = this.options;
    trace.note(`${describe(instance)} ends`);
    this.end(instance);
    await pause(how.downMs);
    const {zone, port} = instance.identity;
    const id = how.hasNewId ? this.createId() : instance.id;
    const isLeading =
      instance.role === 'primary' && instance.term === this.newestTerm;
    const next = await this.add(id, zone, port, instance.log);
    next.term = instance.term;
    if (isLeading) {
      next.becomePrimary(instance.term);
      this.newestLeader = next;
    } else {
      next.upstream = this.findUpstream(next);
    }
    trace.note(`${describe(next)} is back in place of ${instance.id}`);
    await pause(how.listedAfterMs);
    next.isListed = true;
    this.register(next);
  }

  /** Announces the end of an instance, then replaces it. */
  async drain(instance: Instance, drainMs: number, how: Return): Promise<void> {
    this.options.trace.note(`${describe(instance)} is draining`);
    instance.isDraining = true;
    this.register(instance);
    await pause(drainMs);
    if (!instance.isAlive) {
      return;
    }
    const ended = this.restart(instance, how);
    this.removeEntry(instance.id);
    await ended;
  }

  register(instance: Instance): void {
    if (!instance.isAlive || !instance.isListed) {
      return;
    }
    const {rows} = this.options;
    const {identity, isDraining, role, startedAtEpochMs} = instance;
    const text = formatInstanceEntry({
      databaseGroup: this.name,
      port: identity.port,
      zone: identity.zone,
      isDraining,
      role,
      sequence: instance.sequence++,
      startedAtEpochMs,
      capacity: CAPACITY,
    });
    rows.apply([{table: INSTANCE_TABLE, key: identity.id, text}]);
    this.lastHeartbeatMs.set(identity.id, this.nowMs());
  }

  private heartbeat(): void {
    for (const instance of this.liveInstances) {
      this.register(instance);
    }
    for (const [id, atMs] of this.lastHeartbeatMs) {
      if (this.nowMs() - atMs >= EXPIRY_MS) {
        this.removeEntry(id);
      }
    }
  }

  private removeEntry(id: string): void {
    this.lastHeartbeatMs.delete(id);
    this.options.rows.apply([{table: INSTANCE_TABLE, key: id, text: null}]);
  }

  private catchUp(): void {
    for (const instance of this.liveInstances) {
      this.follow(instance);
      const {upstream, log} = instance;
      if (upstream !== null && upstream.log.at(-1) !== log.at(-1)) {
        instance.receive();
      }
    }
  }

  /** Lets an instance find the newest primary once it reaches it. */
  private follow(instance: Instance): void {
    const primary = this.newestPrimary;
    if (primary === null || primary === instance) {
      return;
    }
    if (this.isCut(instance, primary)) {
      this.newPrimarySeenAtMs.delete(instance);
      return;
    }
    if (instance.role === 'replica') {
      instance.upstream = primary;
      return;
    }
    const seenAtMs = this.newPrimarySeenAtMs.get(instance) ?? this.nowMs();
    this.newPrimarySeenAtMs.set(instance, seenAtMs);
    if (this.nowMs() - seenAtMs >= OLD_PRIMARY_MS) {
      this.options.trace.note(`${describe(instance)} finds the new primary`);
      instance.becomeReplica(primary);
    }
  }

  private findUpstream(instance: Instance): Instance | null {
    const primary = this.newestPrimary;
    return primary === instance ? null : primary;
  }

  private createId(): string {
    this.instanceCount++;
    return `${this.name}-i${this.instanceCount}`;
  }

  private async add(
    id: string,
    zone: string,
    port: number,
    log: readonly Commit[],
  ): Promise<Instance> {
    const instance = Instance.create(this, {id, zone, port}, log);
    const server = InstanceServer.create(this.options, instance);
    await server.start();
    this.servers.set(instance, server);
    this.instances.push(instance);
    this.options.links.refresh();
    return instance;
  }
}

/** Names an instance and its state in a trace. @internal */
export function describe(instance: Instance): string {
  const {id, role, term, log, zone} = instance;
  return `${id} (${role} of term ${term}, ${log.length} commits, ${zone})`;
}
