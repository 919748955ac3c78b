import type {Timer} from '@filbertrun/base/clock.js';
import type {InstanceEvent} from '@filbertrun/group/instance_connector.js';
import type {
  InstanceStatus,
  TermConfirmation,
} from '@filbertrun/group/instance_control.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import {ReplicationCore} from '@filbertrun/standin/replication_core.js';
import type {
  ReplicationEffect,
  ReplicationMessage,
} from '@filbertrun/standin/replication_message.js';
import type {PartyClock} from './party_clock.js';
import type {SimulatedNetwork} from './simulated_network.js';
import {
  SimulatedStore,
  type StoreChange,
  type StoreOperation,
} from './simulated_store.js';
import {
  SimulatedTransaction,
  type TransactionHost,
} from './simulated_transaction.js';

/** Time between heartbeats of a primary. */
const HEARTBEAT_INTERVAL_MS = 40;

/** Minimum delay between two ticks of the replication core. */
const MIN_TICK_DELAY_MS = 0.05;

/** Time after which a confirmation without a majority fails. */
const CONFIRM_TIMEOUT_MS = 1000;

/** Receiver of the events of an instance. @public */
export interface InstanceClient {
  handleEvent(event: InstanceEvent): void;
}

/** A call to one of the replication functions. @public */
export type InstanceCall =
  | {readonly kind: 'status'}
  | {readonly kind: 'raise'; readonly term: number; readonly claimId: string}
  | {readonly kind: 'promote'; readonly term: number; readonly claimId: string}
  | {
      readonly kind: 'follow';
      readonly term: number;
      readonly claimId: string;
      readonly primary: string;
    };

/** Options of a simulated instance. @public */
export interface SimulatedInstanceOptions {
  readonly backendServer: string;
  readonly peers: readonly string[];
  readonly clock: PartyClock;
  readonly network: SimulatedNetwork;
  readonly getLagMs: (replica: string) => number;
  readonly getInstance: (backendServer: string) => SimulatedInstance;
}

/** An instance of a database group with its data on virtual time. @public */
export class SimulatedInstance implements TransactionHost {
  private readonly core: ReplicationCore<StoreChange>;
  private readonly store = SimulatedStore.create();
  private readonly clients = new Set<InstanceClient>();
  private readonly transactions = new Set<SimulatedTransaction>();
  private readonly confirmations = new Map<
    number,
    (confirmation: TermConfirmation) => void
  >();
  private timer: Timer | null = null;
  private isDown = false;

  private constructor(private readonly options: SimulatedInstanceOptions) {
    this.core = ReplicationCore.create({
      backendServer: options.backendServer,
      peers: options.peers,
      clock: options.clock,
      heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
      getReplicationLagMs: options.getLagMs,
    });
  }

  static create(options: SimulatedInstanceOptions): SimulatedInstance {
    return new SimulatedInstance(options);
  }

  isAlive(): boolean {
    return !this.isDown;
  }

  isPrimary(): boolean {
    return this.core.getRole() === 'primary';
  }

  getStore(): SimulatedStore {
    return this.store;
  }

  getEnd(): LogPosition {
    return this.core.getEnd();
  }

  getStatus(): InstanceStatus {
    return this.core.getStatus();
  }

  addClient(client: InstanceClient): void {
    this.clients.add(client);
    client.handleEvent({
      kind: 'majorityAdvanced',
      position: this.core.getMajorityPosition(),
    });
  }

  removeClient(client: InstanceClient): void {
    this.clients.delete(client);
  }

  openTransaction(): SimulatedTransaction {
    const transaction = SimulatedTransaction.create(this);
    this.transactions.add(transaction);
    return transaction;
  }

  closeTransaction(transaction: SimulatedTransaction): void {
    transaction.abort();
    this.transactions.delete(transaction);
  }

  /** Runs a replication function; a status call is always accepted. */
  call(call: InstanceCall): {
    readonly accepted: boolean;
    readonly status: InstanceStatus;
  } {
    const accepted = this.runCall(call);
    this.runEffects();
    return {accepted, status: this.core.getStatus()};
  }

  /** Responds once a majority has confirmed the term, with null on timeout. */
  confirmTerm(
    mustConfirmWithMajority: boolean,
    respond: (confirmation: TermConfirmation | null) => void,
  ): void {
    if (!this.isPrimary()) {
      respond(null);
      return;
    }
    const position = this.getEnd();
    if (!mustConfirmWithMajority) {
      respond({...this.createConfirmation(), position});
      return;
    }
    const ticket = this.core.startConfirmation();
    const timer = this.options.clock.startTimer(CONFIRM_TIMEOUT_MS, () => {
      this.confirmations.delete(ticket);
      respond(null);
    });
    this.confirmations.set(ticket, confirmation => {
      timer.cancel();
      respond({...confirmation, position});
    });
    this.runEffects();
  }

  isKeyInUse(requestKey: string, by: SimulatedTransaction): boolean {
    for (const transaction of this.transactions) {
      if (transaction !== by && transaction.holdsKey(requestKey)) {
        return true;
      }
    }
    return false;
  }

  commit(operations: readonly StoreOperation[]): LogPosition {
    const position = this.core.appendChange(operations);
    const record = this.core.getLog().getRecord(position.position);
    if (record !== null) {
      this.store.apply(record);
    }
    this.runEffects();
    return position;
  }

  /** Ends the process; term, role and log are kept. */
  crash(): void {
    this.isDown = true;
    this.timer?.cancel();
    this.timer = null;
    for (const transaction of this.transactions) {
      transaction.abort();
    }
    this.transactions.clear();
    this.confirmations.clear();
    for (const client of [...this.clients]) {
      client.handleEvent({kind: 'closed', reason: 'instance ended'});
    }
    this.clients.clear();
  }

  restart(): void {
    if (!this.isDown) {
      return;
    }
    this.isDown = false;
    this.core.restart();
    this.runEffects();
  }

  handleMessage(message: ReplicationMessage<StoreChange>): void {
    if (this.isDown) {
      return;
    }
    this.core.handleMessage(message);
    this.runEffects();
  }

  private runCall(call: InstanceCall): boolean {
    switch (call.kind) {
      case 'status':
        return true;
      case 'raise':
        return this.core.raiseTerm(call.term, call.claimId);
      case 'promote':
        return this.core.promote(call.term, call.claimId);
      case 'follow':
        return this.core.follow(call.term, call.claimId, call.primary);
    }
  }

  /** Runs the effects that the core requests and schedules its next tick. */
  private runEffects(): void {
    for (const effect of this.core.takeEffects()) {
      this.runEffect(effect);
    }
    this.timer?.cancel();
    this.timer = null;
    const delayMs = this.core.getDelayToNextTickMs();
    if (delayMs !== null) {
      const pauseMs = Math.max(delayMs, MIN_TICK_DELAY_MS);
      this.timer = this.options.clock.startTimer(pauseMs, () => {
        this.core.handleTick();
        this.runEffects();
      });
    }
  }

  private runEffect(effect: ReplicationEffect<StoreChange>): void {
    switch (effect.kind) {
      case 'send':
        this.send(effect.to, effect.message);
        return;
      case 'applyRecord':
        this.store.apply(effect.record);
        return;
      case 'undoRecord':
        this.store.undo(effect.record);
        return;
      case 'roleChanged':
        this.handleRoleChange();
        return;
      case 'majorityAdvanced':
        this.notify({kind: 'majorityAdvanced', position: effect.majority});
        return;
      case 'termConfirmed':
        this.completeConfirmation(effect.ticket);
        return;
    }
  }

  private send(to: string, message: ReplicationMessage<StoreChange>): void {
    this.options.network.sendDatagram(this.options.backendServer, to, () =>
      this.options.getInstance(to).handleMessage(message),
    );
  }

  private handleRoleChange(): void {
    if (!this.isPrimary()) {
      for (const transaction of this.transactions) {
        transaction.abort();
      }
    }
    this.notify({kind: 'roleReported', role: this.core.getRole()});
  }

  private completeConfirmation(ticket: number): void {
    const respond = this.confirmations.get(ticket);
    this.confirmations.delete(ticket);
    respond?.(this.createConfirmation());
  }

  private createConfirmation(): TermConfirmation {
    return {
      term: this.core.getTerm(),
      position: this.getEnd(),
      majorityPosition: this.core.getMajorityPosition(),
    };
  }

  private notify(event: InstanceEvent): void {
    for (const client of this.clients) {
      client.handleEvent(event);
    }
  }
}
