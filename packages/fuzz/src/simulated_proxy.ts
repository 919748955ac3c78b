import {sleep} from '@filbertrun/base/sleep.js';
import {CompletionPlan} from '@filbertrun/completion/completion_plan.js';
import type {
  CompletionOutcome,
  CompletionStep,
} from '@filbertrun/completion/completion_plan.js';
import {GroupManager} from '@filbertrun/group/group_manager.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {SilentLogger} from '@filbertrun/observability/logger.js';
import type {PlatformTable} from '@filbertrun/platform/platform_service.js';
import {chooseReadRoute} from '@filbertrun/routing/choose_read_route.js';
import type {ReadRequirement} from '@filbertrun/routing/read_route.js';
import type {HistoryRules} from './path_rules.js';
import {
  SimulatedConnection,
  SimulatedConnector,
  type ConnectionHost,
  type ReadAnswer,
} from './simulated_connection.js';
import type {SimulatedPeers} from './simulated_peers.js';

/** How a write ended for its caller. @public */
export type WriteOutcome =
  | {readonly kind: 'acknowledged'; readonly position: LogPosition}
  | {readonly kind: 'notRun'}
  | {readonly kind: 'unknown'}
  | {readonly kind: 'requestKeyReused'};

/** A write with an idempotency key. @public */
export interface KeyedWrite {
  readonly requestKey: string;
  readonly statementHash: string;
  readonly bookingId: string;
}

/** What a simulated proxy is made of. @public */
export interface SimulatedProxyOptions {
  readonly host: ConnectionHost;
  readonly availabilityZone: string;
  readonly servers: readonly BackendServer[];
  readonly platform: PlatformTable;
  readonly peers: SimulatedPeers;
  readonly random: RandomSource;
  readonly rules: HistoryRules;
}

/** Name of the only group. */
export const DATABASE_GROUP = 'db';

/** Pause before a statement that was not run is tried again. */
const RETRY_DELAY_MS = 25;

const UNKNOWN: WriteOutcome = {kind: 'unknown'};
const NOT_RUN: WriteOutcome = {kind: 'notRun'};

/**
 * The caller's path of one proxy in short: the real decisions of group,
 * completion, session and routing over simulated connections.
 *
 * @public
 */
export class SimulatedProxy {
  readonly manager: GroupManager;
  private readonly connections = new Set<SimulatedConnection>();
  private isDead = false;

  private constructor(private readonly options: SimulatedProxyOptions) {
    this.manager = GroupManager.create({
      databaseGroup: DATABASE_GROUP,
      backendServers: options.servers,
      entryVm: options.host.party,
      availabilityZone: options.availabilityZone,
      connector: SimulatedConnector.create(options.host),
      platform: options.platform,
      peers: options.peers,
      clock: options.host.clock,
      random: options.random,
      logger: SilentLogger.create(),
      rules: options.rules.group,
    });
  }

  static create(options: SimulatedProxyOptions): SimulatedProxy {
    return new SimulatedProxy(options);
  }

  isAlive(): boolean {
    return !this.isDead;
  }

  getNowMs(): number {
    return this.options.host.clock.nowMs();
  }

  /** Ends the proxy without warning. */
  kill(): void {
    this.isDead = true;
    this.manager.dispose();
    for (const connection of this.connections) {
      connection.close();
    }
  }

  /** Runs a write that may not be repeated. */
  async write(bookingId: string, limitMs: number): Promise<WriteOutcome> {
    const deadlineMs = this.getNowMs() + limitMs;
    while (this.canTryAgain(deadlineMs)) {
      const outcome = await this.tryWrite(bookingId, deadlineMs);
      const mayRepeat =
        outcome.kind === 'notRun' ||
        (outcome.kind === 'unknown' &&
          this.options.rules.path.mayRepeatUnknown());
      if (!mayRepeat) {
        return outcome;
      }
      await sleep(this.options.host.clock, RETRY_DELAY_MS);
    }
    return this.isDead ? UNKNOWN : NOT_RUN;
  }

  /** Runs a write with an idempotency key, again where the plan says so. */
  async writeKeyed(write: KeyedWrite, limitMs: number): Promise<WriteOutcome> {
    const deadlineMs = this.getNowMs() + limitMs;
    let wasUnknown = false;
    while (this.canTryAgain(deadlineMs)) {
      const outcome = await this.tryKeyedWrite(write, deadlineMs);
      if (outcome.kind === 'acknowledged') {
        return outcome;
      }
      if (outcome.kind === 'requestKeyReused') {
        return outcome;
      }
      wasUnknown ||= outcome.kind === 'unknown';
      await sleep(this.options.host.clock, RETRY_DELAY_MS);
    }
    return wasUnknown || this.isDead ? UNKNOWN : NOT_RUN;
  }

  /** Answers a read, or null when it cannot be answered as required. */
  async read(requirement: ReadRequirement): Promise<ReadAnswer | null> {
    if (requirement.kind === 'strict') {
      return this.readStrict();
    }
    const route = chooseReadRoute(requirement, this.getReadCandidates(), {
      availabilityZone: this.options.availabilityZone,
      freshPosition: this.getFreshPosition(requirement),
      random: this.options.random,
    });
    if (route.kind === 'replica') {
      const answer = await this.readFrom(route.backendServer);
      if (answer !== null && this.isAcceptable(requirement, answer)) {
        return answer;
      }
    }
    return this.readPrimary(requirement);
  }

  private async readStrict(): Promise<ReadAnswer | null> {
    const primary = this.manager.getPrimary();
    const answer =
      primary === null ? null : await this.readFrom(primary.backendServer);
    if (answer === null) {
      return null;
    }
    const mustConfirm = this.options.rules.path.mustConfirmStrictRead();
    return !mustConfirm || (await this.isConfirmed(answer)) ? answer : null;
  }

  private async readPrimary(
    requirement: Exclude<ReadRequirement, {kind: 'strict'}>,
  ): Promise<ReadAnswer | null> {
    const startMs = this.getNowMs();
    const primary = this.manager.getPrimary();
    const answer =
      primary === null ? null : await this.readFrom(primary.backendServer);
    if (answer === null) {
      return null;
    }
    const {path} = this.options.rules;
    if (!path.isAnswerAccepted(requirement.floor, answer.position)) {
      return null;
    }
    if (requirement.kind === 'session') {
      return answer;
    }
    const isProven =
      !path.mustConfirmAgeRead() || (await this.isConfirmed(answer));
    // An answer that was long under way is as old as the time it took.
    const ageMs = this.getNowMs() - startMs;
    return isProven && path.isYoungEnough(ageMs, requirement.maxAgeMs)
      ? answer
      : null;
  }

  private async isConfirmed(answer: ReadAnswer): Promise<boolean> {
    const confirmation = await this.manager.confirmTerm();
    return (
      confirmation.ok &&
      this.options.rules.path.isSameTerm(
        confirmation.value.term,
        answer.position,
      )
    );
  }

  /** Whether an answer covers the floor and, as of now, the age. */
  private isAcceptable(
    requirement: Exclude<ReadRequirement, {kind: 'strict'}>,
    answer: ReadAnswer,
  ): boolean {
    const {path} = this.options.rules;
    const fresh = this.getFreshPosition(requirement);
    if (requirement.kind === 'age') {
      if (fresh === null || !path.isAnswerAccepted(fresh, answer.position)) {
        return false;
      }
    }
    return path.isAnswerAccepted(requirement.floor, answer.position);
  }

  private getFreshPosition(requirement: ReadRequirement): LogPosition | null {
    return requirement.kind === 'age'
      ? this.manager.getFreshPosition(requirement.maxAgeMs)
      : null;
  }

  private getReadCandidates() {
    return this.manager.getCandidates().map(candidate => ({
      backendServer: candidate.server.backendServer,
      availabilityZone: candidate.server.availabilityZone,
      isPrimary: candidate.isPrimary,
      isAvailable: candidate.isAvailable,
      weight: candidate.server.weight,
      knownPosition: candidate.knownPosition,
      freeSlots: 2,
      latencyMs: candidate.latencyMs,
    }));
  }

  private async readFrom(backendServer: string): Promise<ReadAnswer | null> {
    const connection = await this.connect(backendServer);
    if (connection === null) {
      return null;
    }
    const result = await connection.read();
    this.release(connection);
    if (!result.ok) {
      return null;
    }
    this.manager.recordPosition(backendServer, result.value.position);
    return result.value;
  }

  private async tryWrite(
    bookingId: string,
    deadlineMs: number,
  ): Promise<WriteOutcome> {
    const connection = await this.connectPrimary(deadlineMs);
    if (connection === null) {
      return NOT_RUN;
    }
    const [answer] = await connection.execute([{kind: 'request'}], bookingId);
    this.release(connection);
    if (answer === undefined || answer.kind === 'lost') {
      return UNKNOWN;
    }
    if (answer.kind === 'failed' || answer.position === null) {
      return NOT_RUN;
    }
    const proof = await this.manager.waitForMajority(
      answer.position,
      deadlineMs,
    );
    return proof.ok
      ? {kind: 'acknowledged', position: answer.position}
      : UNKNOWN;
  }

  private async tryKeyedWrite(
    write: KeyedWrite,
    deadlineMs: number,
  ): Promise<WriteOutcome> {
    const connection = await this.connectPrimary(deadlineMs);
    if (connection === null) {
      return NOT_RUN;
    }
    const plan = CompletionPlan.create(
      {...write, nowMs: 0},
      this.options.rules.completion,
    );
    let step: CompletionStep = plan.start();
    while (step.kind !== 'finish') {
      if (step.kind === 'send') {
        const answers = await connection.execute(
          step.statements,
          write.bookingId,
        );
        step = plan.handleAnswers(answers);
      } else {
        const proof = await this.manager.waitForMajority(
          step.position,
          deadlineMs,
        );
        step = plan.handleMajority(proof.ok);
      }
    }
    this.release(connection);
    return describeOutcome(step.outcome);
  }

  private async connectPrimary(
    deadlineMs: number,
  ): Promise<SimulatedConnection | null> {
    const primary = await this.manager.waitForPrimary(deadlineMs);
    return primary.ok ? this.connect(primary.value.backendServer) : null;
  }

  private async connect(
    backendServer: string,
  ): Promise<SimulatedConnection | null> {
    const connection = SimulatedConnection.create(
      this.options.host,
      backendServer,
      event => {
        if (event.kind === 'positionReported') {
          this.manager.recordPosition(backendServer, event.position);
        }
      },
    );
    this.connections.add(connection);
    const opened = await connection.open();
    if (opened.ok) {
      return connection;
    }
    this.release(connection);
    this.manager.reportConnectionLoss(backendServer);
    return null;
  }

  private release(connection: SimulatedConnection): void {
    this.connections.delete(connection);
    connection.close();
  }

  private canTryAgain(deadlineMs: number): boolean {
    return !this.isDead && this.getNowMs() < deadlineMs;
  }
}

function describeOutcome(outcome: CompletionOutcome): WriteOutcome {
  switch (outcome.kind) {
    case 'executed':
    case 'replayed':
      return outcome.position === null
        ? UNKNOWN
        : {kind: 'acknowledged', position: outcome.position};
    case 'requestKeyReused':
      return {kind: 'requestKeyReused'};
    case 'unknown':
      return UNKNOWN;
    case 'failed':
    case 'answerTooLarge':
    case 'notRun':
      return NOT_RUN;
  }
}
