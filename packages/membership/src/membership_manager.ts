import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {EntryVmId} from '@filbertrun/model/identifiers.js';
import type {Logger} from '@filbertrun/observability/logger.js';
import type {VmDirectory} from '@filbertrun/platform/platform_service.js';
import {
  computeShare,
  getShareHolders,
  hasJoined,
  type SharedInstance,
  type SharePopulation,
} from './connection_shares.js';
import {GroupAssignment, type ProxyLocation} from './group_assignment.js';
import {createIncarnation} from './incarnation.js';
import type {MemberRecord} from './member.js';
import {getPresentRecords} from './member_table.js';
import {
  createMembershipState,
  createMessage,
  getHeartbeatIntervalMs,
  STALL_THRESHOLD_MS,
  transitionMembership,
  type MembershipCommand,
  type MembershipEvent,
  type MembershipState,
} from './membership_core.js';
import type {MembershipMessage} from './membership_message.js';

/**
 * Runs membership in one proxy: carries out what the core decides, and gives
 * the proxy its duties and its shares of connections.
 *
 * @public
 */

/** Messages of membership to other proxies; null when no answer came. @public */
export interface MembershipTransport {
  sendHeartbeat(
    peerUrl: string,
    message: MembershipMessage,
  ): Promise<MembershipMessage | null>;
  askSilence(
    peerUrl: string,
    subject: EntryVmId,
  ): Promise<{readonly silentForMs: number | null} | null>;
  getMembers(peerUrl: string): Promise<readonly MemberRecord[] | null>;
}

/** Where a proxy runs. @public */
export interface MembershipIdentity {
  readonly entryVm: EntryVmId;
  readonly availabilityZone: string;
  readonly peerUrl: string;
}

/** What membership works with. @public */
export interface MembershipManagerOptions {
  readonly identity: MembershipIdentity;
  /** Wall-clock time of the start, for the incarnation. */
  readonly startedAtEpochMs: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly directory: VmDirectory;
  readonly transport: MembershipTransport;
  /** Peers to try while the platform's list cannot be read; may be empty. */
  readonly seedPeerUrls: readonly string[];
  readonly logger: Logger;
}

/** Shortest mean time between two reads of the platform's list. */
const SHORTEST_LIST_INTERVAL_MS = 5000;

/** Reads of the list a second by all proxies together. */
const LIST_BUDGET_PER_SECOND = 8;

/** Time within which changes of members are told to the listeners together. */
const NOTIFY_DELAY_MS = 50;

interface KeyedAssignment {
  readonly key: string;
  readonly assignment: GroupAssignment;
}

type Listener = () => void;

/** Runs membership in one proxy. @public */
export class MembershipManager {
  private state: MembershipState;
  private lastTickAtMs: number;
  private shareKey = '';
  private shareAssignment: KeyedAssignment | null = null;
  private notifyTimer: Timer | null = null;
  private tickTimer: Timer | null = null;
  private listTimer: Timer | null = null;
  private isDisposed = false;
  private readonly listeners = new Set<Listener>();
  private readonly suspensionListeners = new Set<Listener>();

  private constructor(private readonly options: MembershipManagerOptions) {
    const {identity, clock, random, startedAtEpochMs} = options;
    const incarnation = createIncarnation(startedAtEpochMs, random);
    const self: MemberRecord = {...identity, incarnation, state: 'live'};
    this.lastTickAtMs = clock.nowMs();
    this.state = createMembershipState(self, this.lastTickAtMs);
  }

  /** Creates membership and starts to send heartbeats. */
  static create(options: MembershipManagerOptions): MembershipManager {
    const manager = new MembershipManager(options);
    void manager.readList();
    manager.scheduleTick();
    return manager;
  }

  /** This proxy as others see it. */
  getSelf(): MemberRecord {
    return this.state.self;
  }

  /** The members that are live or leaving, this one included. */
  getPresentMembers(): readonly MemberRecord[] {
    return [this.state.self, ...getPresentRecords(this.state.table)];
  }

  /** The members that take new duties, this one included while it does. */
  getLiveMembers(): readonly MemberRecord[] {
    const live = this.getPresentMembers().filter(isLive);
    return this.isSuspended()
      ? live.filter(record => record.entryVm !== this.state.self.entryVm)
      : live;
  }

  /** All records, for a peer that asks for the whole table. */
  getRecords(): readonly MemberRecord[] {
    const records = [this.state.self];
    for (const {record} of this.state.table.values()) {
      records.push(record);
    }
    return records;
  }

  /** Members that this proxy exchanges heartbeats with. */
  getNeighbours(): readonly MemberRecord[] {
    const neighbours: MemberRecord[] = [];
    for (const entryVm of this.state.neighbours) {
      const entry = this.state.table.get(entryVm);
      if (entry !== undefined) {
        neighbours.push(entry.record);
      }
    }
    return neighbours;
  }

  /** The record of a member; null when it is unknown. */
  getMember(entryVm: EntryVmId): MemberRecord | null {
    return this.state.table.get(entryVm)?.record ?? null;
  }

  /**
   * Whether the proxy must not act on what it knew: it has had no contact
   * since it was paused, or it is only now noticing that it was. Call it
   * before each use of a share or a duty.
   */
  isSuspended(): boolean {
    return this.state.joinedAtMs === null || this.isStalled();
  }

  /** Whether the process was paused and has not dealt with that yet. */
  isStalled(): boolean {
    return this.getLatenessMs() >= STALL_THRESHOLD_MS;
  }

  /** Whether this proxy may use its shares of connections now. */
  holdsShares(): boolean {
    const nowMs = this.options.clock.nowMs();
    return !this.isSuspended() && hasJoined(this.getPopulation(), nowMs);
  }

  /** Duties among the members that take new ones. */
  getAssignment(): GroupAssignment {
    return GroupAssignment.create(this.getLiveMembers());
  }

  /** Connections to an instance that this proxy may hold now. */
  getShare(instance: SharedInstance): number {
    return this.getShares([instance])[0] ?? 0;
  }

  /** As `getShare`, for many instances at once. */
  getShares(instances: readonly SharedInstance[]): readonly number[] {
    const population = this.getPopulation();
    const nowMs = this.options.clock.nowMs();
    if (!this.holdsShares()) {
      return instances.map(() => 0);
    }
    const assignment = this.getShareAssignment(population, nowMs);
    const {entryVm} = this.state.self;
    return instances.map(instance =>
      computeShare(assignment, entryVm, instance),
    );
  }

  /**
   * Calls `listener` when members, duties or shares may have changed. Gives a
   * function that ends the calls.
   */
  onChange(listener: Listener): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /**
   * Calls `listener` when the process notices that it was paused, before it
   * does anything else. Gives a function that ends the calls.
   */
  onSuspended(listener: Listener): () => void {
    this.suspensionListeners.add(listener);
    return () => {
      this.suspensionListeners.delete(listener);
    };
  }

  /** Takes a heartbeat and gives the answer to it. */
  handleHeartbeat(message: MembershipMessage): MembershipMessage {
    const nowMs = this.options.clock.nowMs();
    this.handle({kind: 'messageReceived', nowMs, message, askedAtMs: null});
    return this.createMessage(message.sender.entryVm);
  }

  /** Time since a member was heard from directly; null when it never was. */
  getSilenceMs(entryVm: EntryVmId): number | null {
    const heardAtMs = this.state.table.get(entryVm)?.heardAtMs ?? null;
    return heardAtMs === null ? null : this.options.clock.nowMs() - heardAtMs;
  }

  /** Sends a heartbeat to each neighbour now, to announce a change. */
  sendHeartbeatsNow(): void {
    for (const {entryVm, peerUrl} of this.getNeighbours()) {
      void this.sendHeartbeat(entryVm, peerUrl);
    }
  }

  /** Tells the others that this proxy takes no new work. */
  startLeaving(): void {
    this.handle({kind: 'leaveStarted', nowMs: this.options.clock.nowMs()});
    this.sendHeartbeatsNow();
  }

  /**
   * Tells the others that this proxy holds no connections any more. Resolves
   * when all neighbours have answered or the time for that is over.
   */
  async endLeaving(): Promise<void> {
    this.handle({kind: 'leaveEnded', nowMs: this.options.clock.nowMs()});
    const heartbeats = this.getNeighbours().map(({entryVm, peerUrl}) =>
      this.sendHeartbeat(entryVm, peerUrl),
    );
    await Promise.all(heartbeats);
  }

  dispose(): void {
    this.isDisposed = true;
    this.tickTimer?.cancel();
    this.listTimer?.cancel();
    this.notifyTimer?.cancel();
    this.listeners.clear();
    this.suspensionListeners.clear();
  }

  private scheduleTick(): void {
    const intervalMs = getHeartbeatIntervalMs(this.state);
    this.tickTimer = this.options.clock.startTimer(intervalMs, () => {
      this.tick();
      this.scheduleTick();
    });
  }

  private tick(): void {
    const nowMs = this.options.clock.nowMs();
    const stalledForMs = this.getLatenessMs();
    this.lastTickAtMs = nowMs;
    this.handle({kind: 'stallDetected', nowMs, stalledForMs});
    this.handle({kind: 'tick', nowMs});
    if (this.state.table.size === 0) {
      for (const peerUrl of this.options.seedPeerUrls) {
        void this.sendHeartbeat('', peerUrl);
      }
    }
    this.notifyIfSharesChanged(nowMs);
  }

  private getLatenessMs(): number {
    const sinceTickMs = this.options.clock.nowMs() - this.lastTickAtMs;
    return sinceTickMs - getHeartbeatIntervalMs(this.state);
  }

  private handle(event: MembershipEvent): void {
    if (this.isDisposed) {
      return;
    }
    const step = transitionMembership(this.state, event, this.options.random);
    this.state = step.state;
    for (const command of step.commands) {
      this.execute(command);
    }
  }

  private execute(command: MembershipCommand): void {
    switch (command.kind) {
      case 'sendHeartbeat':
        void this.sendHeartbeat(command.entryVm, command.peerUrl);
        return;
      case 'askSilence':
        void this.askSilence(command);
        return;
      case 'requestMembers':
        void this.requestMembers(command.peerUrl);
        return;
      case 'memberChanged':
        this.logMember(command.record);
        this.notifySoon();
        return;
      case 'suspended':
        this.options.logger.warn('process_stalled', {});
        this.notifySuspended();
        this.notify();
        return;
      case 'joined':
        this.options.logger.info('membership_joined', {});
        this.notify();
        return;
    }
  }

  private async sendHeartbeat(
    entryVm: EntryVmId,
    peerUrl: string,
  ): Promise<void> {
    const askedAtMs = this.options.clock.nowMs();
    const message = this.createMessage(entryVm);
    const answer = await this.options.transport.sendHeartbeat(peerUrl, message);
    if (answer !== null) {
      const nowMs = this.options.clock.nowMs();
      this.handle({
        kind: 'messageReceived',
        nowMs,
        message: answer,
        askedAtMs,
      });
    }
  }

  private async askSilence(
    command: Extract<MembershipCommand, {kind: 'askSilence'}>,
  ): Promise<void> {
    const {voter, voterUrl, subject} = command;
    const answer = await this.options.transport.askSilence(voterUrl, subject);
    if (answer !== null) {
      const nowMs = this.options.clock.nowMs();
      const {silentForMs} = answer;
      this.handle({kind: 'voteReceived', nowMs, subject, voter, silentForMs});
    }
  }

  private async requestMembers(peerUrl: string): Promise<void> {
    const records = await this.options.transport.getMembers(peerUrl);
    if (records !== null) {
      const nowMs = this.options.clock.nowMs();
      this.handle({kind: 'recordsReceived', nowMs, records});
    }
  }

  private async readList(): Promise<void> {
    const listed = await this.options.directory.listVms();
    if (this.isDisposed) {
      return;
    }
    if (listed.ok) {
      // Incarnation 0 marks a member that no proxy has spoken for yet.
      const records = listed.value.map(vm => ({...vm, incarnation: 0}));
      const nowMs = this.options.clock.nowMs();
      this.handle({kind: 'recordsReceived', nowMs, records});
    }
    const budgetedMs =
      ((this.state.table.size + 1) * 1000) / LIST_BUDGET_PER_SECOND;
    const meanMs = Math.max(SHORTEST_LIST_INTERVAL_MS, budgetedMs);
    const delayMs = meanMs * (0.5 + this.options.random.nextFloat());
    this.listTimer = this.options.clock.startTimer(delayMs, () => {
      void this.readList();
    });
  }

  private createMessage(receiver: EntryVmId): MembershipMessage {
    const created = createMessage(this.state, receiver);
    this.state = created.state;
    return created.message;
  }

  private getPopulation(): SharePopulation {
    const {self, joinedAtMs, table} = this.state;
    return {self, joinedAtMs, others: [...table.values()]};
  }

  /** The assignment among those that may hold connections, kept while they stay the same. */
  private getShareAssignment(
    population: SharePopulation,
    nowMs: number,
  ): GroupAssignment {
    const holders = getShareHolders(population, nowMs);
    const key = describeHolders(holders);
    if (this.shareAssignment?.key !== key) {
      const assignment = GroupAssignment.create(holders);
      this.shareAssignment = {key, assignment};
    }
    return this.shareAssignment.assignment;
  }

  /** Delays that have passed change the shares without any message. */
  private notifyIfSharesChanged(nowMs: number): void {
    const population = this.getPopulation();
    const holders = describeHolders(getShareHolders(population, nowMs));
    const shareKey = `${this.holdsShares()} ${holders}`;
    if (shareKey !== this.shareKey) {
      this.shareKey = shareKey;
      this.notify();
    }
  }

  private notifySuspended(): void {
    for (const listener of this.suspensionListeners) {
      listener();
    }
  }

  private notifySoon(): void {
    this.notifyTimer ??= this.options.clock.startTimer(NOTIFY_DELAY_MS, () => {
      this.notifyTimer = null;
      this.notify();
    });
  }

  private notify(): void {
    for (const listener of this.listeners) {
      listener();
    }
  }

  private logMember(record: MemberRecord): void {
    const {state, incarnation} = record;
    const event = state === 'dead' ? 'member_dead' : 'member_changed';
    // The fields of the logger itself name this proxy.
    const fields = {
      member: record.entryVm,
      memberZone: record.availabilityZone,
      state,
      incarnation,
    };
    if (state === 'dead') {
      this.options.logger.warn(event, fields);
      return;
    }
    this.options.logger.info(event, fields);
  }
}

function describeHolders(holders: readonly ProxyLocation[]): string {
  const names = holders.map(
    ({entryVm, availabilityZone}) => `${entryVm}/${availabilityZone}`,
  );
  return names.sort().join(' ');
}

function isLive(record: MemberRecord): boolean {
  return record.state === 'live';
}
