import type {Clock} from '@filbertrun/base/clock.js';
import {sleep} from '@filbertrun/base/sleep.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {isCovered} from '@filbertrun/model/log_position.js';
import type {
  ConnectError,
  ConnectionIdentity,
} from '@filbertrun/pool/pool_types.js';
import type {
  BackendCommand,
  BackendConnection,
  BackendConnector,
  BackendConnectionError,
  ReachabilityResult,
} from '../backend/backend_connection.js';
import {
  UNNAMED_BACKEND_SERVER,
  type BackendServerEntry,
} from '../directory/backend_server_entry.js';
import type {
  BackendAnswer,
  BackendRejection,
  TransactionState,
} from '../statement/statement_answer.js';
import {
  createCompleteAnswer,
  createRejectedAnswer,
  type AnswerState,
} from '../testing/create_answer.js';
import type {SafetyOracle} from './safety_oracle.js';
import type {SimulatedGroup, SimulatedInstance} from './simulated_group.js';
import type {SimulatedNetwork} from './simulated_network.js';

/** Dependencies of `SimulatedConnector`. @internal */
export interface SimulatedConnectorOptions {
  readonly proxy: string;
  readonly clock: Clock;
  readonly group: SimulatedGroup;
  readonly network: SimulatedNetwork;
  readonly oracle: SafetyOracle;
  /** Writes that a read must see; null if the request is not a checked read. */
  getRequiredWrites(requestId: string): readonly string[] | null;
  /** Whether the process is suspended, so that it handles no response. */
  isFrozen(): boolean;
}

/** One-way latency of a message. */
const MESSAGE_MS = 1;

/** Interval at which an unacknowledged commit is checked again. */
const ACKNOWLEDGE_INTERVAL_MS = 20;

/** Interval at which a response to a frozen process is tried again. */
const FROZEN_POLL_MS = 5;

/** Connects one proxy to the instances of the simulated group. @internal */
export class SimulatedConnector implements BackendConnector {
  private constructor(private readonly options: SimulatedConnectorOptions) {}

  static create(options: SimulatedConnectorOptions): SimulatedConnector {
    return new SimulatedConnector(options);
  }

  async connect(
    backendServer: BackendServerEntry,
    identity: ConnectionIdentity,
    timeoutMs: number,
  ): Promise<
    Result<BackendConnection, ConnectError | {readonly kind: 'wrongServer'}>
  > {
    const instance = this.options.group.findAt(backendServer.host);
    if (instance === null || !this.isReachable(instance)) {
      await sleep(this.options.clock, timeoutMs);
      return failure({kind: 'unreachable', reason: 'silent'});
    }
    await sleep(this.options.clock, MESSAGE_MS);
    const expected = backendServer.backendServer;
    if (
      expected !== UNNAMED_BACKEND_SERVER &&
      expected !== instance.entry.backendServer
    ) {
      return failure({kind: 'wrongServer'});
    }
    return success(
      new SimulatedConnection(backendServer, instance, this.options),
    );
  }

  async checkReachable(
    backendServer: BackendServerEntry,
    timeoutMs: number,
  ): Promise<ReachabilityResult> {
    const instance = this.options.group.findAt(backendServer.host);
    if (instance !== null && this.isReachable(instance)) {
      await sleep(this.options.clock, MESSAGE_MS);
      return 'accepted';
    }
    await sleep(this.options.clock, timeoutMs);
    return 'silent';
  }

  private isReachable(instance: SimulatedInstance): boolean {
    const {network, proxy} = this.options;
    return (
      instance.isRunning &&
      network.isConnected(proxy, instance.entry.backendServer)
    );
  }
}

/** One connection to a simulated instance. */
class SimulatedConnection implements BackendConnection {
  isOpen = true;
  pendingCount = 0;
  private sentAtMs: number | null = null;
  private transactionState: TransactionState = 'idle';
  private uncommitted: string[] = [];

  constructor(
    readonly backendServer: BackendServerEntry,
    private readonly instance: SimulatedInstance,
    private readonly options: SimulatedConnectorOptions,
  ) {}

  getUnresponsiveSinceMs(): number | null {
    return this.sentAtMs;
  }

  close(): void {
    this.isOpen = false;
    this.uncommitted = [];
  }

  async execute(
    command: BackendCommand,
    timeoutMs: number,
  ): Promise<Result<BackendAnswer, BackendConnectionError>> {
    if (!this.isOpen) {
      return failure({kind: 'notSent', reason: 'closed'});
    }
    const {clock} = this.options;
    const deadlineMs = clock.nowMs() + timeoutMs;
    this.sentAtMs = clock.nowMs();
    this.pendingCount++;
    await sleep(clock, MESSAGE_MS);
    const response = this.canDeliver()
      ? await this.serve(command, deadlineMs)
      : null;
    await sleep(clock, MESSAGE_MS);
    const isDelivered = response !== null && this.canDeliver();
    while (this.options.isFrozen()) {
      await sleep(clock, FROZEN_POLL_MS);
    }
    this.pendingCount--;
    if (isDelivered) {
      this.sentAtMs = null;
      return success(response);
    }
    await sleep(clock, Math.max(0, deadlineMs - clock.nowMs()));
    if (!this.isOpen) {
      return failure({kind: 'connectionLost', reason: 'closed'});
    }
    return failure({kind: 'timedOut'});
  }

  private canDeliver(): boolean {
    const {network, proxy} = this.options;
    return (
      this.isOpen &&
      this.instance.isRunning &&
      network.isConnected(proxy, this.instance.entry.backendServer)
    );
  }

  /** Runs a command on the instance; null if it sends no response. */
  private async serve(
    command: BackendCommand,
    deadlineMs: number,
  ): Promise<BackendAnswer | null> {
    if (command.kind !== 'callerStatement') {
      if (command.kind === 'rollback') {
        this.endTransaction();
      }
      return this.complete();
    }
    const {statement, requestId, requiredPosition} = command;
    const {group, oracle, getRequiredWrites, proxy, clock} = this.options;
    oracle.checkArrival(proxy, this.instance, clock.nowMs());
    const position = group.getPosition(this.instance);
    if (requiredPosition !== null && !isCovered(requiredPosition, position)) {
      return this.reject('positionNotReached');
    }
    switch (statement.kind) {
      case 'read': {
        const required = getRequiredWrites(requestId);
        if (required !== null && this.transactionState === 'idle') {
          oracle.checkRead(this.instance, required);
        }
        return this.complete();
      }
      case 'begin':
        if (!statement.isReadOnly && this.instance.role === 'replica') {
          return this.reject('notPrimary');
        }
        this.transactionState = 'open';
        return this.complete();
      case 'write':
        if (this.instance.role === 'replica') {
          return this.reject('notPrimary');
        }
        this.uncommitted.push(requestId);
        return this.transactionState === 'open'
          ? this.complete()
          : this.commit(deadlineMs);
      case 'commit':
        return this.commit(deadlineMs);
      default:
        this.endTransaction();
        return this.complete();
    }
  }

  private async commit(deadlineMs: number): Promise<BackendAnswer | null> {
    const {clock, group, oracle} = this.options;
    const {uncommitted, instance} = this;
    this.endTransaction();
    if (uncommitted.length > 0 && instance.role === 'replica') {
      return this.reject('notPrimary');
    }
    const {term} = instance;
    let isAcknowledged = group.commit(instance, uncommitted);
    while (!isAcknowledged && clock.nowMs() < deadlineMs) {
      await sleep(clock, ACKNOWLEDGE_INTERVAL_MS);
      const isStillPrimary =
        instance.role === 'primary' && instance.term === term;
      if (!isStillPrimary || !instance.isRunning) {
        return null;
      }
      // `commit` without writes returns true, so `isReplicated` decides.
      isAcknowledged =
        group.commit(instance, []) && this.isReplicated(uncommitted);
    }
    if (!isAcknowledged) {
      return null;
    }
    if (uncommitted.length > 0) {
      oracle.checkCommit(instance);
    }
    return this.complete();
  }

  /** Whether a replica holds the last of the writes. */
  private isReplicated(writeIds: readonly string[]): boolean {
    const last = writeIds.at(-1);
    for (const other of this.options.group.instances.values()) {
      const isWritten = other.log.some(({writeId}) => writeId === last);
      if (other !== this.instance && isWritten) {
        return true;
      }
    }
    return false;
  }

  private endTransaction(): void {
    this.uncommitted = [];
    this.transactionState = 'idle';
  }

  private complete(): BackendAnswer {
    return createCompleteAnswer('signed', [], this.getAnswerState());
  }

  private reject(rejection: BackendRejection): BackendAnswer {
    return createRejectedAnswer(rejection, this.getAnswerState());
  }

  private getAnswerState(): AnswerState {
    const {transactionState, instance} = this;
    return {
      transactionState,
      position: this.options.group.getPosition(instance),
    };
  }
}
