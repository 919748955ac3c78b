import {
  SeededRandom,
  type RandomSource,
} from '@filbertrun/base/random_source.js';
import {failure, success} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {digestApiKey} from '../customer/api_key_digest.js';
import {CustomerDirectory} from '../customer/customer_directory.js';
import type {DatabaseRoute} from '../configuration/service_configuration.js';
import type {ByteChannel} from '../forwarding/byte_channel.js';
import type {DeclineReason} from '../forwarding/forward_message.js';
import type {OperationExecutor} from '../session/operation_executor.js';
import {createEntryVmRecord} from './create_entry_vm_record.js';
import {FakeByteChannel} from './fake_byte_channel.js';
import {HistoryCaller, type HistoryCallerOptions} from './history_caller.js';
import {HistoryInstances, type HistoryBehavior} from './history_instances.js';
import {findViolations, type HistoryAttempt} from './history_oracle.js';
import {
  createHistoryRoutes,
  HistoryProxy,
  type MutantStream,
} from './history_proxy.js';
import {StallableChannel} from './stallable_channel.js';

/**
 * Random histories of forwarded operations on virtual time: callers of several
 * customers, followers, holders and instances, with overlapping failures. A
 * history is reproduced by its seed.
 */

/** A fault of the forwarding that the histories must detect. @internal */
export interface HistoryMutant {
  readonly name: string;
  /** Beginning of the violation by which it must be detected. */
  readonly rule: string;
  /** Connections that each proxy opens above its limit. */
  readonly excessConnections?: number;
  /** Replaces the executor of the followers' sessions. */
  readonly wrapExecutor?: (executor: OperationExecutor) => OperationExecutor;
  /** Replaces how a holder serves a stream. */
  readonly accept?: (proxy: HistoryProxy, channel: ByteChannel) => MutantStream;
}

/** Result of one history. @internal */
export interface HistoryResult {
  readonly seed: number;
  readonly violations: readonly string[];
  /** Number of replies by kind, of runs and of failures that were injected. */
  readonly counts: ReadonlyMap<string, number>;
}

/** Time for which callers are active. */
const ACTIVE_MS = 1_500;

/** Time after the last caller has ended; longer than all timeouts. */
const QUIET_MS = 3_000;

const MAX_FAULTS = 14;

/** Share of the failures of holders that concern the one in use. */
const FIRST_HOLDER_SHARE = 0.6;

const CUSTOMERS = ['acme', 'birch', 'cedar'];

/** Time for one write after the quiet time; longer than any deadline. */
const SERVICE_CHECK_MS = 1_200;

/** Share of the histories in which all connections have a shared identity. */
const SHARED_IDENTITY_SHARE = 0.3;

const MAX_HOLDER_CONNECTIONS = 4;

/** One-way latencies between proxies; 30 ms is that between two regions. */
const DELAYS_MS = [1, 1, 5, 30];

/** Short timeouts make deadlines pass while a reply is under way. */
const STATEMENT_TIMEOUTS_MS = [80, 250, 1_000, 1_000];

const FOLLOWER_CONNECTIONS = 1;

const FORWARD_PORT = 1;

const START_MS = 10_000;

/** A stream between a follower and a holder. */
interface HistoryStream {
  readonly follower: HistoryProxy;
  readonly holder: HistoryProxy;
  readonly ends: readonly [FakeByteChannel, FakeByteChannel];
  readonly stallable: readonly [StallableChannel, StallableChannel];
}

/** Failures that a history injects; one that is listed twice is more frequent. */
const FAULTS = [
  'reset',
  'reset',
  'dropToHolder',
  'dropToFollower',
  'dropBoth',
  'stallToHolder',
  'stallToFollower',
  'stallBoth',
  'bufferFull',
  'unreachable',
  'decline',
  'stopHolder',
  'killHolder',
  'stopFollower',
  'killFollower',
  'leaseLost',
  'instanceFaults',
  'instanceFaults',
  'callerLeaves',
  'callerLeaves',
] as const;

type Fault = (typeof FAULTS)[number];

/** Runs the history of a seed. @internal */
export function runForwardingHistory(
  seed: number,
  mutant: HistoryMutant | null = null,
): Promise<HistoryResult> {
  return ForwardingHistory.create(seed, mutant).run();
}

class ForwardingHistory {
  private readonly clock = VirtualClock.create();
  private readonly random: RandomSource;
  private readonly instances: HistoryInstances;
  private readonly customers: CustomerDirectory | null;
  private readonly routes: ReadonlyMap<string, DatabaseRoute>;
  private readonly delayMs: number;
  private readonly holderConnections: number;
  private readonly violations: string[] = [];
  private readonly attempts = new Map<string, HistoryAttempt>();
  private readonly counts = new Map<string, number>();
  private readonly holders: HistoryProxy[] = [];
  private readonly followers: HistoryProxy[] = [];
  /** All proxies, also those that were stopped or killed. */
  private readonly proxies: HistoryProxy[] = [];
  private readonly streams: HistoryStream[] = [];
  private readonly callers: HistoryCaller[] = [];
  private faultyUntilMs = 0;
  private isQuiet = false;
  private nextIncarnation = 1;
  private nextSession = 0;

  private constructor(
    private readonly seed: number,
    private readonly mutant: HistoryMutant | null,
  ) {
    this.random = SeededRandom.create(seed);
    this.instances = HistoryInstances.create(this.clock, this.random);
    this.customers =
      this.random.nextFloat() < SHARED_IDENTITY_SHARE
        ? null
        : createCustomers();
    this.routes = createHistoryRoutes(this.pick(STATEMENT_TIMEOUTS_MS));
    this.delayMs = this.pick(DELAYS_MS);
    this.holderConnections = this.random.nextInteger(1, MAX_HOLDER_CONNECTIONS);
    this.instances.chooseBehavior = () => this.chooseBehavior();
  }

  static create(seed: number, mutant: HistoryMutant | null): ForwardingHistory {
    return new ForwardingHistory(seed, mutant);
  }

  async run(): Promise<HistoryResult> {
    this.clock.advance(START_MS);
    const {random} = this;
    const holderCount = random.nextInteger(2, 3);
    for (let index = 0; index < holderCount; index++) {
      this.holders.push(this.createProxy(`holder-${index}`, false));
    }
    const followerCount = random.nextInteger(1, 2);
    for (let index = 0; index < followerCount; index++) {
      this.followers.push(this.createProxy(`follower-${index}`, true));
    }
    this.announceHolders();
    this.startCallers(random.nextInteger(3, 8));
    this.scheduleFaults(random.nextInteger(0, MAX_FAULTS));
    await this.advance(ACTIVE_MS);
    this.endFaults();
    const running = Promise.all(this.callers.map(caller => caller.stop()));
    let isEnded = false;
    void running.then(() => {
      isEnded = true;
    });
    await this.advance(QUIET_MS);
    if (!isEnded) {
      this.violations.push('no reply: a statement was not answered in time');
    }
    await this.checkService();
    this.violations.push(...findViolations(this.attempts, this.instances));
    this.checkEnd();
    this.countReplies();
    const {seed, violations, counts} = this;
    return {seed, violations, counts};
  }

  private createProxy(entryVm: string, isFollower: boolean): HistoryProxy {
    const {clock, instances, customers, routes, mutant} = this;
    const proxy: HistoryProxy = HistoryProxy.create({
      entryVm,
      incarnation: `incarnation-${this.nextIncarnation++}`,
      clock,
      instances,
      customers,
      routes,
      connector: isFollower
        ? {
            connect: holder => Promise.resolve(this.connect(proxy, holder)),
          }
        : null,
      maxConnections: isFollower
        ? FOLLOWER_CONNECTIONS
        : this.holderConnections,
      excessConnections: mutant?.excessConnections ?? 0,
      seed: this.random.nextInteger(0, 1_000_000),
      reportViolation: description => this.violations.push(description),
      wrapExecutor: executor =>
        isFollower ? (mutant?.wrapExecutor?.(executor) ?? executor) : executor,
      accept: mutant?.accept ?? null,
    });
    this.proxies.push(proxy);
    return proxy;
  }

  private connect(
    follower: HistoryProxy,
    target: {readonly entryVm: string; readonly incarnation: string},
  ) {
    const holder = this.holders.find(({entryVm}) => entryVm === target.entryVm);
    if (holder?.isReachable !== true || follower.isKilled) {
      return failure('unreachable');
    }
    const ends = FakeByteChannel.createPair({
      clock: this.clock,
      delayMs: this.delayMs,
    });
    const stallable = [
      StallableChannel.create(ends[0]),
      StallableChannel.create(ends[1]),
    ] as const;
    this.streams.push({follower, holder, ends, stallable});
    holder.accept(stallable[1]);
    return success(stallable[0]);
  }

  /** Tells the followers about the present holders. */
  private announceHolders(): void {
    const records = this.holders.map(({entryVm, incarnation}) =>
      createEntryVmRecord(entryVm, 'zone-a', {
        incarnation,
        forwardPort: FORWARD_PORT,
      }),
    );
    for (const {forwarding} of this.followers) {
      forwarding.updateHolders(records);
    }
  }

  private startCallers(count: number): void {
    for (let index = 0; index < count; index++) {
      const caller = HistoryCaller.create(
        this.createCallerOptions(`c${index}`, index),
      );
      this.callers.push(caller);
      caller.start();
    }
  }

  private createCallerOptions(
    name: string,
    index: number,
  ): HistoryCallerOptions {
    const customer = CUSTOMERS[index % CUSTOMERS.length] ?? null;
    return {
      name,
      customer: this.customers === null ? null : customer,
      clock: this.clock,
      random: this.random,
      attempts: this.attempts,
      chooseProxy: () => this.pick(this.followers),
      createSessionId: () => this.nextSession++,
      reportViolation: description => this.violations.push(description),
    };
  }

  private scheduleFaults(count: number): void {
    for (let index = 0; index < count; index++) {
      const fault = this.pick(FAULTS);
      const durationMs = this.random.nextInteger(20, 1_200);
      const startMs = this.random.nextInteger(0, ACTIVE_MS);
      this.clock.startTimer(startMs, () => this.inject(fault, durationMs));
    }
  }

  private inject(fault: Fault, durationMs: number): void {
    if (this.isQuiet) {
      return;
    }
    this.count(`fault ${fault}`);
    switch (fault) {
      case 'reset':
        this.pickStream()?.ends[this.random.nextInteger(0, 1)]?.reset();
        return;
      case 'dropToHolder':
        this.drop([0], durationMs);
        return;
      case 'dropToFollower':
        this.drop([1], durationMs);
        return;
      case 'dropBoth':
        this.drop([0, 1], durationMs);
        return;
      case 'stallToHolder':
        this.stall([0], durationMs);
        return;
      case 'stallToFollower':
        this.stall([1], durationMs);
        return;
      case 'stallBoth':
        this.stall([0, 1], durationMs);
        return;
      case 'bufferFull':
        this.fillBuffer(durationMs);
        return;
      case 'unreachable':
        this.makeUnreachable(durationMs);
        return;
      case 'decline':
        this.decline(durationMs);
        return;
      case 'stopHolder':
      case 'killHolder':
        this.replaceHolder(fault === 'killHolder', durationMs);
        return;
      case 'stopFollower':
      case 'killFollower':
        this.replaceFollower(fault === 'killFollower');
        return;
      case 'leaseLost':
        this.loseLease(durationMs);
        return;
      case 'instanceFaults':
        this.faultyUntilMs = this.clock.nowMs() + durationMs;
        return;
      case 'callerLeaves':
        this.pick(this.callers).leave();
        return;
    }
  }

  private pickHolder(): HistoryProxy {
    const [first] = this.followers[0]?.forwarding.rankHolders('group') ?? [];
    const holder = this.holders.find(({entryVm}) => entryVm === first?.entryVm);
    return holder !== undefined && this.random.nextFloat() < FIRST_HOLDER_SHARE
      ? holder
      : this.pick(this.holders);
  }

  private pickStream(): HistoryStream | null {
    const open = this.streams.filter(({ends}) => ends[0].isOpen);
    return open.length === 0 ? null : this.pick(open);
  }

  /** Loses all bytes of the ends; TCP gives up after the duration. */
  private drop(ends: readonly (0 | 1)[], durationMs: number): void {
    const stream = this.pickStream();
    if (stream === null) {
      return;
    }
    for (const end of ends) {
      stream.ends[end].isDropping = true;
    }
    this.clock.startTimer(durationMs, () => stream.ends[1].reset());
  }

  private stall(ends: readonly (0 | 1)[], durationMs: number): void {
    const stream = this.pickStream();
    for (const end of ends) {
      const channel = stream?.stallable[end];
      channel?.stall();
      this.clock.startTimer(durationMs, () => channel?.resume());
    }
  }

  /** Fills the follower's buffer, so that it sends no new exchanges. */
  private fillBuffer(durationMs: number): void {
    const stream = this.pickStream();
    stream?.ends[0].fillBuffer();
    this.clock.startTimer(durationMs, () => stream?.ends[0].drainBuffer());
  }

  private makeUnreachable(durationMs: number): void {
    const holder = this.pickHolder();
    holder.isReachable = false;
    this.clock.startTimer(durationMs, () => {
      holder.isReachable = this.holders.includes(holder);
    });
  }

  private decline(durationMs: number): void {
    const holder = this.pickHolder();
    const reasons: readonly DeclineReason[] = ['stopping', 'notServing'];
    holder.declineReason = this.pick(reasons);
    this.clock.startTimer(durationMs, () => {
      holder.declineReason = null;
    });
  }

  private loseLease(durationMs: number): void {
    const proxy = this.pick([...this.holders, ...this.followers]);
    proxy.isInContact = false;
    this.clock.startTimer(durationMs, () => {
      proxy.isInContact = true;
    });
  }

  /** Ends the process of a holder; a new one takes its place at once. */
  private replaceHolder(isKill: boolean, announceAfterMs: number): void {
    const old = this.pickHolder();
    const index = this.holders.indexOf(old);
    this.holders[index] = this.createProxy(old.entryVm, false);
    this.end(old, isKill);
    this.clock.startTimer(announceAfterMs, () => this.announceHolders());
  }

  /** Ends the process of a follower, and the sessions of its callers. */
  private replaceFollower(isKill: boolean): void {
    const index = this.random.nextInteger(0, this.followers.length - 1);
    const old = this.followers[index];
    if (old === undefined) {
      return;
    }
    this.followers[index] = this.createProxy(old.entryVm, true);
    this.announceHolders();
    this.end(old, isKill);
    for (const caller of this.callers) {
      if (caller.proxy === old && (isKill || this.random.nextFloat() < 0.5)) {
        caller.leave();
      }
    }
  }

  private end(proxy: HistoryProxy, isKill: boolean): void {
    if (!isKill) {
      proxy.stop();
      return;
    }
    for (const {follower, holder, ends} of this.streams) {
      if (follower === proxy || holder === proxy) {
        ends[0].reset();
      }
    }
    proxy.kill();
  }

  private chooseBehavior(): HistoryBehavior {
    if (this.isQuiet || this.clock.nowMs() >= this.faultyUntilMs) {
      return 'answer';
    }
    const behaviors: readonly HistoryBehavior[] = [
      'answer',
      'answer',
      'answer',
      'answer',
      'slow',
      'slow',
      'overloaded',
      'runAndLose',
      'loseBeforeRun',
      'runSilently',
    ];
    return this.pick(behaviors);
  }

  /** Ends all failures; interrupted streams are reset. */
  private endFaults(): void {
    this.isQuiet = true;
    for (const {ends, stallable} of this.streams) {
      stallable[0].resume();
      stallable[1].resume();
      ends[0].drainBuffer();
      if (ends[0].isDropping || ends[1].isDropping) {
        ends[0].reset();
      }
    }
    for (const holder of this.holders) {
      holder.isReachable = true;
      holder.declineReason = null;
    }
    for (const proxy of this.proxies) {
      proxy.isInContact = true;
    }
  }

  /** Each follower must serve a write again after the quiet time. */
  private async checkService(): Promise<void> {
    for (const follower of this.followers) {
      const caller = HistoryCaller.create({
        ...this.createCallerOptions(`last-${follower.entryVm}`, 0),
        chooseProxy: () => follower,
      });
      let isServed = false;
      void caller.runWrite().then(reply => {
        isServed = reply?.result.kind === 'complete';
      });
      await this.advance(SERVICE_CHECK_MS);
      if (!isServed) {
        this.violations.push(`no service: a write at ${follower.entryVm}`);
      }
    }
  }

  /** Nothing may be left after the quiet time. */
  private checkEnd(): void {
    for (const proxy of this.proxies) {
      const name = `${proxy.entryVm} (${proxy.incarnation})`;
      if (proxy.transactionCount > 0) {
        this.violations.push(`transaction left open: at ${name}`);
      }
      for (const {pool} of proxy.group.getServers()) {
        const {activeLeases, suspendedLeases, queueLength} = pool.getStatus();
        if (activeLeases + suspendedLeases + queueLength > 0) {
          this.violations.push(`connection left leased: at ${name}`);
        }
      }
      for (const event of proxy.events.events) {
        if (event.kind === 'taskFailed') {
          this.violations.push(`task failed: ${event.task}, ${event.reason}`);
        }
        if (event.kind === 'forwardedMessageInvalid') {
          this.violations.push(`invalid message: ${event.reason}`);
        }
      }
    }
    for (const connection of this.instances.connections) {
      if (connection.hasOpenTransaction) {
        this.violations.push(
          `transaction left open: at the instance, of ${connection.owner.entryVm}`,
        );
      }
    }
  }

  private countReplies(): void {
    this.count('runs', this.instances.runs.length);
    this.count('commits', this.instances.commits.length);
    for (const {reply} of this.attempts.values()) {
      const kind = reply?.result.kind ?? 'none';
      const error =
        reply?.result.kind === 'error' ? reply.result.error.kind : '';
      this.count(`reply ${kind} ${error}`.trim());
    }
  }

  private count(name: string, increase = 1): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + increase);
  }

  private pick<T>(items: readonly T[]): T {
    const item = items[this.random.nextInteger(0, items.length - 1)];
    if (item === undefined) {
      throw new Error('There is nothing to choose from.');
    }
    return item;
  }

  /** Advances virtual time from timer to timer; promises settle in between. */
  private async advance(durationMs: number): Promise<void> {
    const {clock} = this;
    const endMs = clock.nowMs() + durationMs;
    for (;;) {
      await settleAll();
      const delayMs = clock.getDelayToNextTimerMs();
      if (delayMs === null || clock.nowMs() + delayMs > endMs) {
        break;
      }
      clock.advance(delayMs);
    }
    clock.advance(endMs - clock.nowMs());
  }
}

function createCustomers(): CustomerDirectory {
  return CustomerDirectory.create(
    CUSTOMERS.map(name => ({
      name,
      keyDigests: [digestApiKey(name)],
      limit: null,
    })),
  );
}

/** Runs the continuations of all resolved promises. */
function settleAll(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
