import type {Clock} from '@filbertrun/base/clock.js';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import type {MetricsRegistry} from '@filbertrun/observability/metrics.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {EntryVmIdentity} from '../control/entry_vm_registration.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {GatewayContext} from '../session/gateway_context.js';
import {
  LocalOperationExecutor,
  type OperationExecutor,
} from '../session/operation_executor.js';
import type {ByteChannel} from './byte_channel.js';
import type {DeclineReason} from './forward_message.js';
import {ForwardServerStream} from './forward_server_stream.js';
import {ForwardStreams, type ForwardConnector} from './forward_streams.js';
import {ForwardedOperationHost} from './forwarded_operation_host.js';
import {HolderDirectory, type Holder} from './holder_directory.js';
import {OperationForwarder} from './operation_forwarder.js';

/** Options of {@link Forwarding}. @public */
export interface ForwardingOptions {
  readonly self: EntryVmIdentity;
  readonly clock: Clock;
  readonly events: GatewayEventRecorder;
  readonly gateway: GatewayContext;
  /** Null if operations are not forwarded. */
  readonly connector: ForwardConnector | null;
  /** Returns why no operation of a group is accepted, or null if one is. */
  findDeclineReason(group: GroupRuntime): DeclineReason | null;
  /** Called when this proxy becomes, or no longer is, a holder. */
  handleHolderChanged(): void;
}

/**
 * Time after the last operation of a follower for which a proxy that is not the
 * first in the order remains the holder of a group.
 */
const SUBSTITUTE_HOLDER_MS = 3_000;

interface AcceptedStream {
  readonly stream: ForwardServerStream;
  readonly host: ForwardedOperationHost;
}

/**
 * The shared access of this proxy: it forwards operations to holders, and serves
 * those of its followers as a holder.
 *
 * @public
 */
export class Forwarding {
  readonly executor: OperationExecutor;
  private readonly local = LocalOperationExecutor.create();
  private readonly holders: HolderDirectory;
  private readonly streams: ForwardStreams | null;
  private readonly accepted = new Set<AcceptedStream>();
  /** Time of the last operation of a follower, by group. */
  private readonly servedAtMs = new Map<DatabaseGroupName, number>();

  private constructor(private readonly options: ForwardingOptions) {
    const {self, clock, events, connector} = options;
    this.holders = HolderDirectory.create(self.availabilityZone);
    this.streams =
      connector === null
        ? null
        : ForwardStreams.create({clock, events, connector});
    this.executor =
      this.streams === null
        ? this.local
        : OperationForwarder.create({
            entryVm: self.entryVm,
            events,
            holders: this.holders,
            streams: this.streams,
            local: this.local,
          });
  }

  static create(options: ForwardingOptions): Forwarding {
    return new Forwarding(options);
  }

  /**
   * Number of transactions of followers that are under way; a single statement
   * counts as one.
   */
  get transactionCount(): number {
    let count = 0;
    for (const {host} of this.accepted) {
      count += host.transactionCount;
    }
    return count;
  }

  /** Applies the registrations of all proxies. */
  updateHolders(entryVms: readonly EntryVmRecord[]): void {
    if (this.holders.update(entryVms)) {
      this.streams?.forgetUnregistered(this.holders.getAll());
    }
  }

  /** Returns the holders of a group in the order in which they are asked. */
  rankHolders(databaseGroup: DatabaseGroupName): readonly Holder[] {
    return this.holders.rank(databaseGroup);
  }

  /**
   * Whether this proxy holds the connections to a group: it is the first in the
   * order, or followers use it because they could not use those before it.
   */
  isHolder(databaseGroup: DatabaseGroupName): boolean {
    const [first] = this.holders.rank(databaseGroup);
    return (
      first?.entryVm === this.options.self.entryVm ||
      this.servedAtMs.has(databaseGroup)
    );
  }

  /** Serves the operations that a follower sends on a channel. */
  accept(channel: ByteChannel): void {
    const {gateway, events, findDeclineReason} = this.options;
    const host = ForwardedOperationHost.create({
      gateway,
      local: this.local,
      findDeclineReason,
      handleAccepted: databaseGroup => this.recordServed(databaseGroup),
      handleClosed: () => this.accepted.delete(entry),
    });
    const stream = ForwardServerStream.create(channel, {
      handler: host,
      handleInvalid: reason =>
        events.record({kind: 'forwardedMessageInvalid', reason}),
    });
    const entry: AcceptedStream = {stream, host};
    this.accepted.add(entry);
  }

  /** Ends the role of a substitute holder that followers no longer use. */
  maintain(): void {
    const nowMs = this.options.clock.nowMs();
    let hasChanged = false;
    for (const [databaseGroup, servedAtMs] of [...this.servedAtMs]) {
      if (nowMs - servedAtMs >= SUBSTITUTE_HOLDER_MS) {
        this.servedAtMs.delete(databaseGroup);
        hasChanged = true;
      }
    }
    if (hasChanged) {
      this.options.handleHolderChanged();
    }
  }

  collectGauges(metrics: MetricsRegistry): void {
    metrics.setGauge(
      'filbertrun_forward_streams_open',
      'Open streams on which this proxy forwards operations to holders.',
      this.streams?.openCount ?? 0,
    );
    metrics.setGauge(
      'filbertrun_forward_streams_accepted',
      'Open streams of followers.',
      this.accepted.size,
    );
    metrics.setGauge(
      'filbertrun_forwarded_transactions_open',
      'Transactions of followers under way, single statements included.',
      this.transactionCount,
    );
  }

  dispose(reason: string): void {
    this.streams?.dispose(reason);
    for (const {stream} of [...this.accepted]) {
      stream.close(reason);
    }
  }

  private recordServed(databaseGroup: DatabaseGroupName): void {
    const isNew = !this.servedAtMs.has(databaseGroup);
    this.servedAtMs.set(databaseGroup, this.options.clock.nowMs());
    if (isNew) {
      this.options.handleHolderChanged();
    }
  }
}
