import type {Clock, Timer} from '@filbertrun/base/clock.js';
import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import type {
  AvailabilityZone,
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import {runInBackground} from '@filbertrun/observability/background_task.js';
import type {Logger} from '@filbertrun/observability/logger.js';
import type {ClaimTable} from './claim_table.js';
import {reduceFailover} from './failover_core.js';
import type {FailoverCommand, FailoverEvent} from './failover_messages.js';
import {createFailoverState, type FailoverState} from './failover_state.js';
import type {GroupPeers} from './group_peers.js';
import type {GroupRules} from './group_rules.js';
import type {InstanceClient} from './instance_client.js';

/** Options of a failover driver. @internal */
export interface FailoverDriverOptions {
  readonly databaseGroup: DatabaseGroupName;
  /** Makes the claim ids of this process unique. */
  readonly claimPrefix: string;
  readonly servers: readonly BackendServer[];
  readonly localZone: AvailabilityZone;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly rules: GroupRules;
  readonly peers: GroupPeers;
  readonly claims: ClaimTable;
  readonly logger: Logger;
  readonly getClient: (backendServer: BackendServerId) => InstanceClient | null;
  /** Called after each event that has changed the state. */
  readonly onState: (state: FailoverState) => void;
}

/** Interval between two tick events of the core. */
export const TICK_INTERVAL_MS = 50;

/** Delay of a tick from which this process counts as stalled. */
const STALL_THRESHOLD_MS = 250;

/** Time that the other proxies have to vote. */
const VOTE_TIMEOUT_MS = 120;

/**
 * Runs the failover core: passes events to it and executes its commands.
 *
 * @internal
 */
export class FailoverDriver {
  private state: FailoverState;
  private timer: Timer | null = null;
  private lastTickMs: number;
  private isDisposed = false;

  private constructor(private readonly options: FailoverDriverOptions) {
    this.lastTickMs = options.clock.nowMs();
    this.state = createFailoverState(
      options.databaseGroup,
      options.claimPrefix,
      options.servers.map(server => server.backendServer),
    );
  }

  static create(options: FailoverDriverOptions): FailoverDriver {
    const driver = new FailoverDriver(options);
    driver.scheduleTick();
    return driver;
  }

  getState(): FailoverState {
    return this.state;
  }

  /** Passes one event to the core. */
  handleEvent(event: FailoverEvent): void {
    if (this.isDisposed) {
      return;
    }
    this.detectStall();
    this.apply(event);
  }

  dispose(): void {
    this.isDisposed = true;
    this.timer?.cancel();
  }

  private scheduleTick(): void {
    this.timer = this.options.clock.startTimer(TICK_INTERVAL_MS, () => {
      this.detectStall();
      this.lastTickMs = this.options.clock.nowMs();
      this.apply({
        kind: 'tick',
        monitorRank: this.options.peers.getMonitorRank(
          this.options.databaseGroup,
        ),
        knownZones: this.options.peers.getKnownZones(),
      });
      this.scheduleTick();
    });
  }

  /**
   * Reports a stall to the core, because failures observed during a stall of
   * this process say nothing about the instances.
   */
  private detectStall(): void {
    const nowMs = this.options.clock.nowMs();
    const latenessMs = nowMs - this.lastTickMs - TICK_INTERVAL_MS;
    if (latenessMs < STALL_THRESHOLD_MS) {
      return;
    }
    this.lastTickMs = nowMs;
    this.options.logger.warn('loop_stalled', {stallMs: latenessMs});
    this.apply({kind: 'stallDetected'});
  }

  private apply(event: FailoverEvent): void {
    const previous = this.state;
    const step = reduceFailover(previous, event, {
      nowMs: this.options.clock.nowMs(),
      random: this.options.random,
      rules: this.options.rules,
      localZone: this.options.localZone,
    });
    this.state = step.state;
    this.logPhase(previous, step.state);
    if (step.state !== previous) {
      this.options.onState(step.state);
    }
    for (const command of step.commands) {
      runInBackground(this.options.logger, command.kind, this.execute(command));
    }
  }

  private logPhase(previous: FailoverState, next: FailoverState): void {
    const isSamePhase = previous.phase.kind === next.phase.kind;
    const isSameView = previous.view === next.view;
    if (isSamePhase && isSameView) {
      return;
    }
    this.options.logger.info('failover_phase', {
      databaseGroup: this.options.databaseGroup,
      phase: next.phase.kind,
      term: next.view?.term ?? null,
      primary: next.view?.primary ?? null,
    });
  }

  private async execute(command: FailoverCommand): Promise<void> {
    switch (command.kind) {
      case 'collectVotes':
        return this.collectVotes(command.attempt, command.backendServer);
      case 'requestStatus':
        this.options.getClient(command.backendServer)?.pollIfDue(0);
        return;
      case 'readClaim':
        return this.handleEvent({
          kind: 'claimRead',
          attempt: command.attempt,
          outcome: await this.options.claims.read(),
        });
      case 'writeClaim':
        return this.handleEvent({
          kind: 'claimWritten',
          attempt: command.attempt,
          outcome: await this.options.claims.write(
            command.claim,
            command.expectedRevision,
          ),
        });
      case 'raiseTerm':
      case 'promote':
        return this.runInstanceCommand(command);
      case 'follow':
        await this.options
          .getClient(command.backendServer)
          ?.run(control =>
            control.follow(command.term, command.claimId, command.primary),
          );
        return;
      case 'announce':
        this.options.logger.info('primary_announced', {...command.view});
        return this.options.peers.announceView(command.view);
      case 'publishClaim':
        return this.options.claims.publish(command.claim);
      default:
        return exhaustiveSwitchError(command);
    }
  }

  private async collectVotes(
    attempt: number,
    backendServer: BackendServerId,
  ): Promise<void> {
    const votes = await this.options.peers.collectVotes(
      this.options.databaseGroup,
      backendServer,
      VOTE_TIMEOUT_MS,
    );
    this.handleEvent({kind: 'votesCollected', attempt, votes});
  }

  private async runInstanceCommand(
    command: Extract<FailoverCommand, {kind: 'raiseTerm' | 'promote'}>,
  ): Promise<void> {
    const {attempt, backendServer, term, claimId} = command;
    const client = this.options.getClient(backendServer);
    if (client === null) {
      return;
    }
    if (command.kind === 'raiseTerm') {
      const result = await client.run(control =>
        control.raiseTerm(term, claimId),
      );
      this.handleEvent({kind: 'termRaised', attempt, backendServer, result});
      return;
    }
    const result = await client.run(control => control.promote(term, claimId));
    this.handleEvent({kind: 'promoted', attempt, backendServer, result});
  }
}
