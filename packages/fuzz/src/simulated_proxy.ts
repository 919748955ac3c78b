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
import {NullLogger} from '@filbertrun/observability/logger.js';
import type {PlatformTable} from '@filbertrun/platform/platform_service.js';
import {chooseReadRoute} from '@filbertrun/routing/choose_read_route.js';
import type {ReadRequirement} from '@filbertrun/routing/read_route.js';
import type {HistoryRules} from './path_rules.js';
import {
  SimulatedConnection,
  SimulatedConnector,
  type ConnectionHost,
  type ReadResponse,
} from './simulated_connection.js';
import type {SimulatedPeers} from './simulated_peers.js';

/** Outcome of a write as reported to its caller. @public */
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

/** Options of a simulated proxy. @public */
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

/** Delay before a write is retried. */
const RETRY_DELAY_MS = 25;

const UNKNOWN: WriteOutcome = {kind: 'unknown'};
const NOT_RUN: WriteOutcome = {kind: 'notRun'};

/**
 * A reduced request path of one proxy: the production code of the packages
 * group, completion and routing over simulated connections.
 *
 * @public
 */
export class SimulatedProxy {
  readonly manager: GroupManager;
  private readonly connections = new Set<SimulatedConnection>();
  private isKilled = false;

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
      logger: NullLogger.create(),
      rules: options.rules.group,
    });
  }

  static create(options: SimulatedProxyOptions): SimulatedProxy {
    return new SimulatedProxy(options);
  }

  isAlive(): boolean {
    return !this.isKilled;
  }

  getNowMs(): number {
    return this.options.host.clock.nowMs();
  }

  /** Ends the proxy abruptly. */
  kill(): void {
    this.isKilled = true;
    this.manager.dispose();
    for (const connection of this.connections) {
      connection.close();
    }
  }

  /**
   * Runs a write without an idempotency key. It is retried only when it
   * certainly did not run.
   */
  async write(bookingId: string, timeoutMs: number): Promise<WriteOutcome> {
    const deadlineMs = this.getNowMs() + timeoutMs;
    while (this.canRetry(deadlineMs)) {
      const outcome = await this.tryWrite(bookingId, deadlineMs);
      const mayRetry =
        outcome.kind === 'notRun' ||
        (outcome.kind === 'unknown' &&
          this.options.rules.path.mayRetryUnknownOutcome());
      if (!mayRetry) {
        return outcome;
      }
      await sleep(this.options.host.clock, RETRY_DELAY_MS);
    }
    return this.isKilled ? UNKNOWN : NOT_RUN;
  }

  /**
   * Runs a write with an idempotency key and retries it until it is
   * acknowledged, its key turns out to be reused, or the deadline passes.
   */
  async writeKeyed(
    write: KeyedWrite,
    timeoutMs: number,
  ): Promise<WriteOutcome> {
    const deadlineMs = this.getNowMs() + timeoutMs;
    let wasUnknown = false;
    while (this.canRetry(deadlineMs)) {
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
    return wasUnknown || this.isKilled ? UNKNOWN : NOT_RUN;
  }

  /** Runs a read; null if the requirement can't be met. */
  async read(requirement: ReadRequirement): Promise<ReadResponse | null> {
    if (requirement.kind === 'strict') {
      return this.readStrict();
    }
    const route = chooseReadRoute(requirement, this.getReadCandidates(), {
      availabilityZone: this.options.availabilityZone,
      freshPosition: this.getFreshPosition(requirement),
      random: this.options.random,
    });
    if (route.kind === 'replica') {
      const response = await this.readFrom(route.backendServer);
      if (response !== null && this.isAcceptable(requirement, response)) {
        return response;
      }
    }
    return this.readPrimary(requirement);
  }

  private async readStrict(): Promise<ReadResponse | null> {
    const primary = this.manager.getPrimary();
    const response =
      primary === null ? null : await this.readFrom(primary.backendServer);
    if (response === null) {
      return null;
    }
    const mustConfirm = this.options.rules.path.mustConfirmStrictRead();
    return !mustConfirm || (await this.isConfirmed(response)) ? response : null;
  }

  private async readPrimary(
    requirement: Exclude<ReadRequirement, {kind: 'strict'}>,
  ): Promise<ReadResponse | null> {
    const startMs = this.getNowMs();
    const primary = this.manager.getPrimary();
    const response =
      primary === null ? null : await this.readFrom(primary.backendServer);
    if (response === null) {
      return null;
    }
    const {path} = this.options.rules;
    if (!path.isResponseAccepted(requirement.floor, response.position)) {
      return null;
    }
    if (requirement.kind === 'session') {
      return response;
    }
    const isTermConfirmed =
      !path.mustConfirmAgeRead() || (await this.isConfirmed(response));
    // The data is at most as old as the time since the read started.
    const ageMs = this.getNowMs() - startMs;
    return isTermConfirmed && path.isWithinMaxAge(ageMs, requirement.maxAgeMs)
      ? response
      : null;
  }

  private async isConfirmed(response: ReadResponse): Promise<boolean> {
    const confirmation = await this.manager.confirmTerm();
    return (
      confirmation.ok &&
      this.options.rules.path.isSameTerm(
        confirmation.value.term,
        response.position,
      )
    );
  }

  /** Whether a response covers the floor and, for an age read, is fresh now. */
  private isAcceptable(
    requirement: Exclude<ReadRequirement, {kind: 'strict'}>,
    response: ReadResponse,
  ): boolean {
    const {path} = this.options.rules;
    const freshPosition = this.getFreshPosition(requirement);
    if (requirement.kind === 'age') {
      if (
        freshPosition === null ||
        !path.isResponseAccepted(freshPosition, response.position)
      ) {
        return false;
      }
    }
    return path.isResponseAccepted(requirement.floor, response.position);
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

  private async readFrom(backendServer: string): Promise<ReadResponse | null> {
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
    const [response] = await connection.execute([{kind: 'request'}], bookingId);
    this.release(connection);
    if (response === undefined || response.kind === 'lost') {
      return UNKNOWN;
    }
    if (response.kind === 'failed' || response.position === null) {
      return NOT_RUN;
    }
    const majority = await this.manager.waitForMajority(
      response.position,
      deadlineMs,
    );
    return majority.ok
      ? {kind: 'acknowledged', position: response.position}
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
        const responses = await connection.execute(
          step.statements,
          write.bookingId,
        );
        step = plan.handleResponses(responses);
      } else {
        const majority = await this.manager.waitForMajority(
          step.position,
          deadlineMs,
        );
        step = plan.handleMajority(majority.ok);
      }
    }
    this.release(connection);
    return toWriteOutcome(step.outcome);
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

  private canRetry(deadlineMs: number): boolean {
    return !this.isKilled && this.getNowMs() < deadlineMs;
  }
}

function toWriteOutcome(outcome: CompletionOutcome): WriteOutcome {
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
