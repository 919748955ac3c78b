import type {Clock} from '@filbertrun/base/clock.js';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import type {BackendDirectory} from '../directory/backend_directory.js';
import type {KnownInstances} from '../directory/known_instances.js';
import type {RemovedInstanceProber} from '../directory/removed_instance_prober.js';
import {runInBackground} from '../observability/background_task.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {EntryVmRegistration} from './entry_vm_registration.js';
import type {FailoverLeaderLease} from './failover_leader_lease.js';

/** Dependencies of {@link StoreRecordMaintainer}. @public */
export interface StoreRecordMaintainerOptions {
  readonly clock: Clock;
  readonly events: GatewayEventRecorder;
  readonly directory: Pick<BackendDirectory, 'isListed'>;
  readonly instances: KnownInstances;
  readonly removedInstanceProber: RemovedInstanceProber;
  getRegistration(): EntryVmRegistration;
  getLeaderLease(): FailoverLeaderLease;
  getGroups(): readonly DatabaseGroupName[];
  /** Starts a read of the control table. */
  readControlTable(): void;
}

/** Interval at which the failover leader removes expired entry VM records. */
const REMOVE_EXPIRED_INTERVAL_MS = 10_000;

/**
 * Maintains what a proxy keeps in the store: its registration, failover
 * leadership and, as the failover leader, the rosters and the removal of expired
 * registrations. Keeps known which instances may still be running without an
 * entry.
 *
 * @public
 */
export class StoreRecordMaintainer {
  private expiredRemovedAtMs: number;

  private constructor(private readonly options: StoreRecordMaintainerOptions) {
    this.expiredRemovedAtMs = options.clock.nowMs();
  }

  static create(options: StoreRecordMaintainerOptions): StoreRecordMaintainer {
    return new StoreRecordMaintainer(options);
  }

  /** Renews and writes what is due. */
  async maintain(): Promise<void> {
    const {directory, instances, getGroups} = this.options;
    const registration = this.options.getRegistration();
    const leaderLease = this.options.getLeaderLease();
    if (await registration.maintain()) {
      this.options.readControlTable();
    }
    await leaderLease.maintain();
    const fencingToken = leaderLease.getFencingToken();
    if (fencingToken !== null && directory.isListed) {
      this.runInBackground(
        'rosters',
        instances.roster.maintain(getGroups(), fencingToken),
      );
    }
    const nowMs = this.options.clock.nowMs();
    const isRemovalDue =
      nowMs - this.expiredRemovedAtMs >= REMOVE_EXPIRED_INTERVAL_MS;
    if (isRemovalDue && leaderLease.getFencingToken() !== null) {
      this.expiredRemovedAtMs = nowMs;
      await registration.removeExpired();
    }
  }

  /** Reads the rosters and probes removed instances if that is due. */
  maintainKnownInstances(): void {
    const {instances, removedInstanceProber, getGroups} = this.options;
    this.runInBackground('read of rosters', instances.maintain(getGroups()));
    // A primary is chosen by the failover leader, which may need the logs of
    // drained instances as well.
    const isFailoverLeader =
      this.options.getLeaderLease().getFencingToken() !== null;
    this.runInBackground(
      'probes of removed instances',
      removedInstanceProber.maintain(isFailoverLeader),
    );
  }

  private runInBackground(task: string, promise: Promise<unknown>): void {
    runInBackground(this.options.events, task, promise);
  }
}
