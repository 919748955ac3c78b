import {SessionFloors} from '@filbertrun/session/session_floors.js';
import type {ReadRequirement} from '@filbertrun/routing/read_route.js';
import {BookingOracle, type Violation} from './booking_oracle.js';
import {startFault} from './group_faults.js';
import {
  ACTIVE_MS,
  INSTANCE_NAMES,
  PROXY_COUNT,
  SESSION_COUNT,
  type GroupScenario,
  type OperationStep,
} from './group_scenario.js';
import {SimulatedCluster} from './simulated_cluster.js';
import type {HistoryRules} from './path_rules.js';
import type {ReadResponse} from './simulated_connection.js';
import {
  DATABASE_GROUP,
  type KeyedWrite,
  type WriteOutcome,
} from './simulated_proxy.js';

/** The result of a history. @public */
export interface HistoryResult {
  readonly violations: readonly Violation[];
  /** Timed lines of faults, operations and control calls. */
  readonly transcript: readonly string[];
  readonly acknowledgedCount: number;
  readonly highestTerm: number;
}

/** Time for the proxies to find the primary before operations begin. */
const WARM_UP_MS = 400;

/** Time for running faults to end and pending requests to time out. */
const COOL_DOWN_MS = 2200;

/** Time before a group without faults must accept writes again. */
const RECOVERY_MS = 3500;

/** Timeout of a caller's write. */
const WRITE_TIMEOUT_MS = 1500;

/** Maximum ages of bounded-staleness reads. */
const MAX_READ_AGES_MS = [300, 600, 1200] as const;

/** Tolerance of the oracle for times on clocks of different rates. */
const CLOCK_TOLERANCE_MS = 1;

const MAJORITY = 2;

/**
 * Runs one history of a database group and checks it with the oracle.
 *
 * @public
 */
export class GroupHistory {
  private readonly cluster: SimulatedCluster;
  private readonly oracle = BookingOracle.create();
  private readonly sessions: SessionFloors[] = [];
  private readonly firstTokens: SessionFloors[] = [];
  private readonly keyedWrites: KeyedWrite[] = [];
  private readonly bookingIds: string[] = [];
  private readonly terms = new WeakMap<object, number>();

  private constructor(
    private readonly scenario: GroupScenario,
    private readonly rules: HistoryRules,
  ) {
    this.cluster = SimulatedCluster.create(scenario, rules);
    for (let session = 0; session < SESSION_COUNT; session++) {
      this.sessions.push(SessionFloors.createEmpty());
      this.firstTokens.push(SessionFloors.createEmpty());
    }
  }

  static run(
    scenario: GroupScenario,
    rules: HistoryRules,
  ): Promise<HistoryResult> {
    return new GroupHistory(scenario, rules).run();
  }

  private async run(): Promise<HistoryResult> {
    await this.cluster.run(WARM_UP_MS);
    for (const step of this.scenario.steps) {
      this.cluster.clock.startTimer(step.atMs, () => {
        if (step.kind === 'operation') {
          void this.runOperation(step);
          return;
        }
        const endFault = startFault(this.cluster, step);
        this.cluster.clock.startTimer(step.durationMs, endFault);
      });
    }
    await this.cluster.run(ACTIVE_MS + COOL_DOWN_MS);
    this.cluster.heal();
    this.cluster.log('all faults end');
    await this.cluster.run(RECOVERY_MS);
    await this.checkRecovery();
    this.checkFinal();
    this.cluster.dispose();
    return {
      violations: this.oracle.violations,
      transcript: this.cluster.transcript,
      acknowledgedCount: this.oracle.acknowledgedCount,
      highestTerm: this.getHighestTerm(),
    };
  }

  private runOperation(step: OperationStep): Promise<void> | void {
    this.checkTerm(step.proxy);
    switch (step.operation) {
      case 'write':
        return this.write(step);
      case 'keyedWrite':
        return this.writeKeyed(step, this.createKeyedWrite());
      case 'repeatKey':
        return this.retryKey(step);
      case 'reuseKey':
        return this.reuseKey(step);
      case 'sessionRead':
        return this.readSession(step);
      case 'ageRead':
        return this.readAge(step);
      case 'strictRead':
        return this.readStrict(step);
      case 'oldToken':
        return this.presentOldToken(step);
      case 'changePrimary':
        return this.changePrimary(step);
    }
  }

  /** Checks that the term in the view of a running proxy never decreases. */
  private checkTerm(proxy: number): void {
    const {manager} = this.cluster.getProxy(proxy);
    const term = manager.getTerm();
    if (term < (this.terms.get(manager) ?? 0)) {
      this.oracle.report('term decreased', `proxy ${proxy + 1}: ${term}`);
    }
    this.terms.set(manager, term);
  }

  private async write(step: OperationStep): Promise<void> {
    const bookingId = this.createBookingId();
    const proxy = this.cluster.getProxy(step.proxy);
    const outcome = await proxy.write(bookingId, WRITE_TIMEOUT_MS);
    this.recordOutcome(step, bookingId, outcome);
    if (outcome.kind === 'notRun') {
      this.oracle.recordNotRun(bookingId);
    }
  }

  private async writeKeyed(
    step: OperationStep,
    write: KeyedWrite,
  ): Promise<void> {
    const proxy = this.cluster.getProxy(step.proxy);
    const outcome = await proxy.writeKeyed(write, WRITE_TIMEOUT_MS);
    this.recordOutcome(step, write.bookingId, outcome);
    if (outcome.kind === 'requestKeyReused') {
      this.oracle.report('own key reported as reused', write.bookingId);
    }
  }

  private async retryKey(step: OperationStep): Promise<void> {
    const write = this.keyedWrites[step.choice % this.keyedWrites.length];
    if (write !== undefined) {
      await this.writeKeyed(step, write);
    }
  }

  /**
   * Sends another statement with the key of an acknowledged write; it must not
   * be acknowledged.
   */
  private async reuseKey(step: OperationStep): Promise<void> {
    const write = this.keyedWrites[step.choice % this.keyedWrites.length];
    if (write === undefined) {
      return;
    }
    const wasAcknowledged = this.oracle.isAcknowledged(write.bookingId);
    const other = {
      ...write,
      statementHash: 'other',
      bookingId: `${write.bookingId}-other`,
    };
    if (!wasAcknowledged) {
      return;
    }
    const proxy = this.cluster.getProxy(step.proxy);
    const outcome = await proxy.writeKeyed(other, WRITE_TIMEOUT_MS);
    if (outcome.kind === 'acknowledged') {
      this.oracle.report('reused key acknowledged', other.bookingId);
    }
  }

  private async readSession(step: OperationStep): Promise<void> {
    const expected = this.oracle.getAcknowledgedToSession(step.session);
    const floor = this.getFloor(step.session);
    const response = await this.read(step, {kind: 'session', floor});
    if (response !== null) {
      this.oracle.checkRead('read-your-writes', expected, response.bookings);
    }
  }

  private async readAge(step: OperationStep): Promise<void> {
    const maxAgeMs =
      MAX_READ_AGES_MS[step.choice % MAX_READ_AGES_MS.length] ?? 300;
    const floor = this.getFloor(step.session);
    this.checkFreshness(step.proxy, maxAgeMs);
    const response = await this.read(step, {kind: 'age', floor, maxAgeMs});
    if (response === null) {
      return;
    }
    this.oracle.checkRead(
      'age',
      this.oracle.getAcknowledgedUntil(
        this.getTimeBefore(step.proxy, maxAgeMs),
      ),
      response.bookings,
    );
  }

  /**
   * Checks that the fresh position of a proxy covers every booking that was
   * acknowledged more than `maxAgeMs` ago.
   */
  private checkFreshness(proxy: number, maxAgeMs: number): void {
    const {manager} = this.cluster.getProxy(proxy);
    const freshPosition = manager.getFreshPosition(maxAgeMs);
    if (freshPosition !== null) {
      const timeMs = this.getTimeBefore(proxy, maxAgeMs);
      this.oracle.checkFreshPosition(timeMs, freshPosition);
    }
  }

  /**
   * Returns the base time `durationMs` ago, as measured by a proxy's clock,
   * less the tolerance.
   */
  private getTimeBefore(proxy: number, durationMs: number): number {
    const clock = this.cluster.getProxyClock(proxy);
    const baseMs = clock.toBaseMs(durationMs);
    return this.cluster.clock.nowMs() - baseMs - CLOCK_TOLERANCE_MS;
  }

  private async readStrict(step: OperationStep): Promise<void> {
    const expected = this.oracle.getAcknowledgedUntil(
      this.cluster.clock.nowMs(),
    );
    const response = await this.read(step, {kind: 'strict'});
    if (response !== null) {
      this.oracle.checkRead('strict read', expected, response.bookings);
    }
  }

  private read(
    step: OperationStep,
    requirement: ReadRequirement,
  ): Promise<ReadResponse | null> {
    return this.cluster.getProxy(step.proxy).read(requirement);
  }

  /** A caller presents the session token of its first write again. */
  private presentOldToken(step: OperationStep): void {
    const known = this.sessions[step.session] ?? SessionFloors.createEmpty();
    const received =
      this.firstTokens[step.session] ?? SessionFloors.createEmpty();
    this.sessions[step.session] = this.rules.path.mergeFloors(known, received);
  }

  private async changePrimary(step: OperationStep): Promise<void> {
    const target = INSTANCE_NAMES[step.choice % INSTANCE_NAMES.length] ?? 'a';
    this.cluster.log(`an operator requests ${target} as primary`);
    await this.cluster.getProxy(step.proxy).manager.changePrimary(target);
  }

  private recordOutcome(
    step: OperationStep,
    bookingId: string,
    outcome: WriteOutcome,
  ): void {
    this.cluster.log(
      `${this.cluster.getProxyName(step.proxy)}: ${bookingId} ${outcome.kind}`,
    );
    if (outcome.kind !== 'acknowledged') {
      return;
    }
    this.oracle.recordAcknowledgement(
      bookingId,
      step.session,
      this.cluster.clock.nowMs(),
      outcome.position,
      this.cluster.countHolders(bookingId),
      MAJORITY,
    );
    const floors = (
      this.sessions[step.session] ?? SessionFloors.createEmpty()
    ).raise(DATABASE_GROUP, outcome.position);
    this.sessions[step.session] = floors;
    if (this.firstTokens[step.session]?.size === 0) {
      this.firstTokens[step.session] = floors;
    }
  }

  private getFloor(session: number) {
    const floors = this.sessions[session] ?? SessionFloors.createEmpty();
    return floors.get(DATABASE_GROUP);
  }

  private createBookingId(): string {
    const bookingId = `booking-${this.bookingIds.length + 1}`;
    this.bookingIds.push(bookingId);
    return bookingId;
  }

  private createKeyedWrite(): KeyedWrite {
    const bookingId = this.createBookingId();
    const write = {
      requestKey: `key-${bookingId}`,
      statementHash: `hash-${bookingId}`,
      bookingId,
    };
    this.keyedWrites.push(write);
    return write;
  }

  /** Checks that each proxy accepts a write again after all faults have ended. */
  private async checkRecovery(): Promise<void> {
    for (let proxy = 0; proxy < PROXY_COUNT; proxy++) {
      const bookingId = this.createBookingId();
      let outcome: WriteOutcome | null = null;
      void this.cluster
        .getProxy(proxy)
        .write(bookingId, WRITE_TIMEOUT_MS)
        .then(result => {
          outcome = result;
        });
      for (let round = 0; round < 60 && outcome === null; round++) {
        await this.cluster.run(50);
      }
      const kind = (outcome as WriteOutcome | null)?.kind ?? 'unanswered';
      if (kind !== 'acknowledged') {
        this.oracle.report('no recovery', `proxy ${proxy + 1}: ${kind}`);
        return;
      }
    }
  }

  private checkFinal(): void {
    const primary = this.cluster.getPrimaryName();
    if (primary === null) {
      this.oracle.report('no recovery', 'no primary');
      return;
    }
    const store = this.cluster.getInstance(primary).getStore();
    this.oracle.checkFinal(this.bookingIds, bookingId =>
      store.getCount(bookingId),
    );
  }

  private getHighestTerm(): number {
    let highest = 0;
    for (const instance of this.cluster.getInstances()) {
      highest = Math.max(highest, instance.getStatus().term);
    }
    return highest;
  }
}
