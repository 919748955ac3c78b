import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {EntryVmId} from '@filbertrun/model/identifiers.js';
import {runInBackground} from '@filbertrun/observability/background_task.js';
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
  reduceMembership,
  type MembershipCommand,
  type MembershipEvent,
  type MembershipState,
} from './membership_core.js';
import type {MembershipMessage} from './membership_message.js';

/**
 * Runs membership in one proxy: executes the commands of the core, and provides
 * the group assignment and the connection shares of the proxy.
 *
 * @public
 */

/**
 * Requests to other proxies; they resolve to null if there is no response.
 *
 * @public
 */
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

/** Identity and address of a proxy. @public */
export interface MembershipIdentity {
  readonly entryVm: EntryVmId;
  readonly availabilityZone: string;
  readonly peerUrl: string;
}

/** Options of a membership manager. @public */
export interface MembershipManagerOptions {
  readonly identity: MembershipIdentity;
  /** Wall-clock time of the process start, for the incarnation. */
  readonly startedAtEpochMs: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly directory: VmDirectory;
  readonly transport: MembershipTransport;
  /**
   * Peers to contact while no other member is known, for example because the
   * platform's list cannot be read; may be empty.
   */
  readonly seedPeerUrls: readonly string[];
  readonly logger: Logger;
}

/** Minimum mean interval between two reads of the platform's list. */
const MIN_LIST_INTERVAL_MS = 5000;

/** Reads of the list per second by all proxies together. */
const LIST_BUDGET_PER_SECOND = 8;

/** Delay within which member changes are batched into one notification. */
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
  private readonly suspendedListeners = new Set<Listener>();

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
    runInBackground(options.logger, 'read of the list', manager.readList());
    manager.scheduleTick();
    return manager;
  }

  /** The record of this proxy. */
  getSelf(): MemberRecord {
    return this.state.self;
  }

  /** The members that are live or leaving, including this one. */
  getPresentMembers(): readonly MemberRecord[] {
    return [this.state.self, ...getPresentRecords(this.state.table)];
  }

  /** The live members, including this one unless it is suspended or leaving. */
  getLiveMembers(): readonly MemberRecord[] {
    const live = this.getPresentMembers().filter(isLive);
    return this.isSuspended()
      ? live.filter(record => record.entryVm !== this.state.self.entryVm)
      : live;
  }

  /** All records, for a peer that requests the whole table. */
  getRecords(): readonly MemberRecord[] {
    const records = [this.state.self];
    for (const {record} of this.state.table.values()) {
      records.push(record);
    }
    return records;
  }

  /** Members to which this proxy sends heartbeats. */
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

  /** The record of another member; null if it is unknown. */
  getMember(entryVm: EntryVmId): MemberRecord | null {
    return this.state.table.get(entryVm)?.record ?? null;
  }

  /**
   * Whether the state of this proxy may be out of date: it has had no contact
   * since its start or last stall, or it is in a stall not yet handled. Check
   * this before each use of a connection share or group assignment.
   */
  isSuspended(): boolean {
    return this.state.joinedAtMs === null || this.isStalled();
  }

  /** Whether the process was stalled and has not handled that yet. */
  isStalled(): boolean {
    return this.getLatenessMs() >= STALL_THRESHOLD_MS;
  }

  /** Whether this proxy may use its connection shares now. */
  canUseShares(): boolean {
    const nowMs = this.options.clock.nowMs();
    return !this.isSuspended() && hasJoined(this.getPopulation(), nowMs);
  }

  /** Assignment of database groups to the live members. */
  getAssignment(): GroupAssignment {
    return GroupAssignment.create(this.getLiveMembers());
  }

  /** Connections to an instance that this proxy may hold now. */
  getShare(instance: SharedInstance): number {
    return this.getShares([instance])[0] ?? 0;
  }

  /** Like `getShare`, for many instances at once. */
  getShares(instances: readonly SharedInstance[]): readonly number[] {
    const population = this.getPopulation();
    const nowMs = this.options.clock.nowMs();
    if (!this.canUseShares()) {
      return instances.map(() => 0);
    }
    const assignment = this.getShareAssignment(population, nowMs);
    const {entryVm} = this.state.self;
    return instances.map(instance =>
      computeShare(assignment, entryVm, instance),
    );
  }

  /**
   * Calls `listener` when members, assignments or shares may have changed.
   * Returns a function that unsubscribes it.
   */
  onChange(listener: Listener): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /**
   * Calls `listener` when the process detects that it was stalled, before it
   * sends heartbeats or calls the listeners of `onChange`. Returns a function
   * that unsubscribes it.
   */
  onSuspended(listener: Listener): () => void {
    this.suspendedListeners.add(listener);
    return () => {
      this.suspendedListeners.delete(listener);
    };
  }

  /** Handles a heartbeat and returns the response. */
  handleHeartbeat(message: MembershipMessage): MembershipMessage {
    const nowMs = this.options.clock.nowMs();
    this.handle({
      kind: 'messageReceived',
      nowMs,
      message,
      heartbeatSentAtMs: null,
    });
    return this.createMessage(message.sender.entryVm);
  }

  /** Time since the last known contact with a member; null if none. */
  getTimeSinceContactMs(entryVm: EntryVmId): number | null {
    const heardAtMs = this.state.table.get(entryVm)?.heardAtMs ?? null;
    return heardAtMs === null ? null : this.options.clock.nowMs() - heardAtMs;
  }

  /** Sends a heartbeat to each neighbour now, to announce a change. */
  sendHeartbeatsNow(): void {
    for (const {entryVm, peerUrl} of this.getNeighbours()) {
      this.startHeartbeat(entryVm, peerUrl);
    }
  }

  private startHeartbeat(entryVm: EntryVmId, peerUrl: string): void {
    runInBackground(
      this.options.logger,
      'heartbeat',
      this.sendHeartbeat(entryVm, peerUrl),
    );
  }

  /** Announces that this proxy accepts no new work. */
  startLeaving(): void {
    this.handle({kind: 'leaveStarted', nowMs: this.options.clock.nowMs()});
    this.sendHeartbeatsNow();
  }

  /**
   * Announces that this proxy holds no connections any more. Resolves when each
   * neighbour has responded or the request to it has failed.
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
    this.suspendedListeners.clear();
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
        // The entry VM at a seed URL is unknown.
        this.startHeartbeat('', peerUrl);
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
    const step = reduceMembership(this.state, event, this.options.random);
    this.state = step.state;
    for (const command of step.commands) {
      this.execute(command);
    }
  }

  private execute(command: MembershipCommand): void {
    switch (command.kind) {
      case 'sendHeartbeat':
        this.startHeartbeat(command.entryVm, command.peerUrl);
        return;
      case 'askSilence':
        runInBackground(
          this.options.logger,
          'question',
          this.askSilence(command),
        );
        return;
      case 'requestMembers':
        runInBackground(
          this.options.logger,
          'request of members',
          this.requestMembers(command.peerUrl),
        );
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
    const heartbeatSentAtMs = this.options.clock.nowMs();
    const message = this.createMessage(entryVm);
    const response = await this.options.transport.sendHeartbeat(
      peerUrl,
      message,
    );
    if (response !== null) {
      const nowMs = this.options.clock.nowMs();
      this.handle({
        kind: 'messageReceived',
        nowMs,
        message: response,
        heartbeatSentAtMs,
      });
    }
  }

  private async askSilence(
    command: Extract<MembershipCommand, {kind: 'askSilence'}>,
  ): Promise<void> {
    const {voter, voterUrl, subject} = command;
    const response = await this.options.transport.askSilence(voterUrl, subject);
    if (response !== null) {
      const nowMs = this.options.clock.nowMs();
      const {silentForMs} = response;
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
      // Incarnation 0 marks a member of which no proxy has sent a record yet.
      const records = listed.value.map(vm => ({...vm, incarnation: 0}));
      const nowMs = this.options.clock.nowMs();
      this.handle({kind: 'recordsReceived', nowMs, records});
    }
    const budgetedMs =
      ((this.state.table.size + 1) * 1000) / LIST_BUDGET_PER_SECOND;
    const meanMs = Math.max(MIN_LIST_INTERVAL_MS, budgetedMs);
    const delayMs = meanMs * (0.5 + this.options.random.nextFloat());
    this.listTimer = this.options.clock.startTimer(delayMs, () => {
      runInBackground(this.options.logger, 'read of the list', this.readList());
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

  /**
   * Assignment among the proxies that may hold connections, cached until they
   * change.
   */
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

  /**
   * Notifies listeners of shares that changed without an event, because a join
   * or release delay has elapsed.
   */
  private notifyIfSharesChanged(nowMs: number): void {
    const population = this.getPopulation();
    const holders = describeHolders(getShareHolders(population, nowMs));
    const shareKey = `${this.canUseShares()} ${holders}`;
    if (shareKey !== this.shareKey) {
      this.shareKey = shareKey;
      this.notify();
    }
  }

  private notifySuspended(): void {
    for (const listener of this.suspendedListeners) {
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
    // The logger adds `entryVm` of this proxy, so the member needs another name.
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
