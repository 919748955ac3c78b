import type {Clock} from '@filbertrun/base/clock.js';
import type {Result} from '@filbertrun/base/result.js';
import type {
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import type {
  InstanceControl,
  InstanceControlError,
  InstanceStatus,
} from '../backend/instance_control.js';
import {
  hasSameAddress,
  UNNAMED_BACKEND_SERVER,
  type BackendServerEntry,
} from '../directory/backend_server_entry.js';
import type {TermPrimary} from '../group/primary_lease.js';
import {runInBackground} from '../observability/background_task.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {ChoiceInstance} from '../observability/promotion_event.js';
import type {FencedInstance} from './choose_promotion_target.js';
import {FenceLog, type LoggedFence} from './fence_log.js';

/** Options of the fences of one change. @public */
export interface InstanceFencesOptions {
  readonly clock: Clock;
  readonly events: GatewayEventRecorder;
  readonly instances: InstanceControl;
  readonly databaseGroup: DatabaseGroupName;
  readonly changeId: string;
  readonly oldPrimary: BackendServerId;
  readonly oldTerm: number;
  /** Availability zone of the failover leader, which is this proxy. */
  readonly availabilityZone: string;
}

interface Fence {
  /**
   * Whether it was the primary of the old term. A restarted primary returns
   * under a new id, so the id alone is not sufficient.
   */
  readonly wasPrimary: boolean;
  /** Whether another instance of the group has responded at its address. */
  readonly isSuccessor: boolean;
  readonly status: InstanceStatus;
  /** Null if the request could not count. */
  readonly requestedAtMs: number | null;
  readonly confirmedAtMs: number;
  readonly startedAtEpochMs: number | null;
}

/** Age at which a fence is confirmed again, since a restart undoes a pause. */
const CONFIRM_AFTER_MS = 400;

/** Age at which a fence is no longer valid. */
const FENCE_VALID_MS = 1_500;

/**
 * Fences the instances of a group, so that no more commits of the old term can
 * be acknowledged: the old primary steps down, and the replicas pause
 * replication. Stores the status that each instance returned. The requests are
 * independent, so an unresponsive instance does not delay the others.
 *
 * @public
 */
export class InstanceFences {
  private readonly fences = new Map<BackendServerId, Fence>();
  private readonly pending = new Set<BackendServerId>();
  /** Instances whose address belongs to another service now. */
  private readonly gone = new Set<BackendServerId>();
  /** Instances at whose address another instance of the group responds. */
  private readonly replaced = new Set<BackendServerId>();
  /** Time of the earliest request that counts; null while none does. */
  private countsFromMs: number | null = null;
  private readonly log: FenceLog;

  private constructor(private readonly options: InstanceFencesOptions) {
    this.log = FenceLog.create(options);
  }

  static create(options: InstanceFencesOptions): InstanceFences {
    return new InstanceFences(options);
  }

  /**
   * Lets those fences count that are requested from a time on. Before it, the logs
   * may still gain acknowledged commits.
   */
  countFrom(timeMs: number): void {
    this.countsFromMs = Math.max(this.countsFromMs ?? timeMs, timeMs);
  }

  /**
   * Sends a request to each instance that is not fenced or whose fence has to be
   * confirmed again. While no fence counts, it only asks for the status: a pause
   * would leave the commits until then to instances that are not known yet.
   */
  request(entries: readonly BackendServerEntry[]): void {
    const nowMs = this.options.clock.nowMs();
    this.recordExpired(nowMs);
    for (const entry of entries) {
      const fence = this.fences.get(entry.backendServer);
      const isRecent =
        fence !== undefined &&
        this.isSufficient(fence) &&
        nowMs - fence.confirmedAtMs < CONFIRM_AFTER_MS;
      if (!isRecent && !this.pending.has(entry.backendServer)) {
        runInBackground(
          this.options.events,
          `fence of ${entry.backendServer}`,
          this.fence(entry),
        );
      }
    }
  }

  /** Current state of each instance. */
  describe(entries: readonly BackendServerEntry[]): readonly FencedInstance[] {
    return entries
      .filter(entry => !this.isLeftOut(entry, entries))
      .map(entry => this.describeInstance(entry));
  }

  /**
   * Whether an instance is gone, or its successor at the same address is listed
   * and counts in its place.
   */
  private isLeftOut(
    entry: BackendServerEntry,
    entries: readonly BackendServerEntry[],
  ): boolean {
    const {backendServer} = entry;
    if (this.gone.has(backendServer)) {
      return true;
    }
    return (
      this.replaced.has(backendServer) &&
      entries.some(
        other =>
          other.backendServer !== backendServer &&
          !this.replaced.has(other.backendServer) &&
          hasSameAddress(other, entry),
      )
    );
  }

  /** Describes each instance for the log, with those that were left out. */
  describeForLog(
    entries: readonly BackendServerEntry[],
  ): readonly Omit<ChoiceInstance, 'source'>[] {
    const nowMs = this.options.clock.nowMs();
    return entries.map(entry => {
      const {backendServer, state, startedAtEpochMs} = entry;
      const fence = this.fences.get(backendServer);
      return {
        backendServer,
        state,
        startedAtEpochMs,
        isOldPrimary: this.describeInstance(entry).isOldPrimary,
        reported: fence === undefined ? null : this.toLogged(fence).reported,
        fenceAgeMs: fence === undefined ? null : nowMs - fence.confirmedAtMs,
        exclusion: this.findExclusion(entry),
      };
    });
  }

  /** Last status that an instance returned; null if it returned none. */
  getLastStatus(backendServer: BackendServerId): InstanceStatus | null {
    return this.fences.get(backendServer)?.status ?? null;
  }

  /**
   * Instance that an earlier promotion order has made primary, or null. If
   * several report a later term, all but the one of the highest term have been
   * replaced already.
   */
  findNewPrimary(): TermPrimary | null {
    let newest: TermPrimary | null = null;
    for (const [primary, {status, isSuccessor}] of this.fences) {
      const {role, term} = status;
      const isNewer = term > (newest?.term ?? this.options.oldTerm);
      if (!isSuccessor && role === 'primary' && isNewer) {
        newest = {primary, term};
      }
    }
    return newest;
  }

  private describeInstance(entry: BackendServerEntry): FencedInstance {
    const {oldPrimary, availabilityZone} = this.options;
    const fence = this.findValidFence(entry);
    const isOldPrimary =
      fence?.wasPrimary ?? entry.backendServer === oldPrimary;
    return {
      backendServer: entry.backendServer,
      isOldPrimary,
      isFenced: fence !== null && this.isFenced(fence),
      isDraining: entry.state === 'draining',
      isPromotable: !this.replaced.has(entry.backendServer),
      isInLeaderZone: entry.availabilityZone === availabilityZone,
      receivedPosition: fence?.status.receivedPosition ?? null,
    };
  }

  private findValidFence(entry: BackendServerEntry): Fence | null {
    const fence = this.fences.get(entry.backendServer);
    if (fence === undefined || !this.counts(fence)) {
      return null;
    }
    if (fence.isSuccessor !== this.replaced.has(entry.backendServer)) {
      return null;
    }
    const ageMs = this.options.clock.nowMs() - fence.confirmedAtMs;
    const isSameStart = fence.startedAtEpochMs === entry.startedAtEpochMs;
    return isSameStart && ageMs < FENCE_VALID_MS ? fence : null;
  }

  /** Why the log of an instance does not count; null if it does. */
  private findExclusion(entry: BackendServerEntry): string | null {
    const {backendServer} = entry;
    if (this.gone.has(backendServer)) {
      return 'another service responds at its address';
    }
    const fence = this.findValidFence(entry);
    if (fence !== null) {
      return this.isFenced(fence) ? null : 'it responds and is not fenced';
    }
    if (this.replaced.has(backendServer)) {
      return 'another instance responds at its address';
    }
    const lastError = this.log.getLastError(backendServer);
    if (lastError !== null) {
      return `not fenced: ${lastError}`;
    }
    return this.fences.has(backendServer)
      ? 'its fence is not confirmed again yet'
      : 'no response yet';
  }

  private recordExpired(nowMs: number): void {
    for (const [backendServer, fence] of this.fences) {
      if (nowMs - fence.confirmedAtMs >= FENCE_VALID_MS) {
        this.log.recordExpired(backendServer, this.toLogged(fence));
      }
    }
  }

  private setFence(backendServer: BackendServerId, fence: Fence): void {
    const previous = this.fences.get(backendServer);
    this.fences.set(backendServer, fence);
    this.log.recordResponse(
      backendServer,
      previous === undefined ? null : this.toLogged(previous),
      this.toLogged(fence),
    );
  }

  private toLogged(fence: Fence): LoggedFence {
    const {status, startedAtEpochMs, confirmedAtMs} = fence;
    const {role, term, receivedPosition, pausedTerm} = status;
    return {
      reported: {role, term, receivedPosition, pausedTerm, startedAtEpochMs},
      isFenced: this.isFenced(fence),
      confirmedAtMs,
    };
  }

  /** Whether a fence was requested late enough. */
  private counts({requestedAtMs}: Fence): boolean {
    return (
      this.countsFromMs !== null &&
      requestedAtMs !== null &&
      requestedAtMs >= this.countsFromMs
    );
  }

  /** Whether an instance need not be asked again yet. */
  private isSufficient(fence: Fence): boolean {
    return (
      this.countsFromMs === null || (this.counts(fence) && this.isFenced(fence))
    );
  }

  private isFenced({status, wasPrimary}: Fence): boolean {
    if (status.role !== 'replica') {
      return false;
    }
    return (
      wasPrimary ||
      status.pausedTerm > Math.max(this.options.oldTerm, status.term)
    );
  }

  private async fence(entry: BackendServerEntry): Promise<void> {
    this.pending.add(entry.backendServer);
    const requestedAtMs =
      this.countsFromMs === null ? null : this.options.clock.nowMs();
    try {
      const isSuccessor = this.replaced.has(entry.backendServer);
      const asked = isSuccessor
        ? {...entry, backendServer: UNNAMED_BACKEND_SERVER}
        : entry;
      const wasPrimary = await this.checkWasPrimary(asked);
      const result = await this.sendRequest(asked, wasPrimary);
      this.applyResult(entry, {wasPrimary, isSuccessor, requestedAtMs}, result);
    } finally {
      this.pending.delete(entry.backendServer);
    }
  }

  private sendRequest(
    entry: BackendServerEntry,
    wasPrimary: boolean,
  ): Promise<ControlResult> {
    if (this.countsFromMs === null) {
      return this.options.instances.getStatus(entry);
    }
    return wasPrimary ? this.stepDown(entry) : this.pause(entry);
  }

  private applyResult(
    {backendServer, startedAtEpochMs}: BackendServerEntry,
    request: Pick<Fence, 'wasPrimary' | 'isSuccessor' | 'requestedAtMs'>,
    result: ControlResult,
  ): void {
    if (!result.ok && result.error.kind === 'wrongServer') {
      const refusedBy = request.isSuccessor ? this.gone : this.replaced;
      refusedBy.add(backendServer);
    }
    if (!result.ok) {
      this.log.recordError(backendServer, result.error);
      return;
    }
    this.setFence(backendServer, {
      ...request,
      status: result.value,
      confirmedAtMs: this.options.clock.nowMs(),
      startedAtEpochMs,
    });
  }

  /**
   * Whether an instance was the primary of the old term. An instance that
   * reports the primary role may be the primary of an earlier term. The log of
   * such an instance does not show which commits of the old term were
   * acknowledged.
   */
  private async checkWasPrimary(entry: BackendServerEntry): Promise<boolean> {
    const {instances, oldPrimary, oldTerm} = this.options;
    const known = this.fences.get(entry.backendServer);
    if (entry.backendServer === oldPrimary || known?.wasPrimary === true) {
      return true;
    }
    const reportsPrimaryRole =
      entry.reportedRole === 'primary' || known?.status.role === 'primary';
    if (!reportsPrimaryRole) {
      return false;
    }
    const status = await instances.getStatus(entry);
    return (
      status.ok &&
      status.value.role === 'primary' &&
      status.value.term === oldTerm
    );
  }

  /**
   * Term to fence for. It is above every term seen: an instance that an earlier
   * order made primary may be gone, and a pause needs a term above the newest.
   */
  private get nextTerm(): number {
    let newestTerm = this.options.oldTerm;
    for (const {status} of this.fences.values()) {
      newestTerm = Math.max(newestTerm, status.term);
    }
    return newestTerm + 1;
  }

  private stepDown(entry: BackendServerEntry): Promise<ControlResult> {
    return this.options.instances.stepDown(entry, this.nextTerm);
  }

  /** Pauses replication; a primary of an earlier term steps down first. */
  private async pause(entry: BackendServerEntry): Promise<ControlResult> {
    const {instances, oldTerm} = this.options;
    const result = await instances.pauseReplication(entry, this.nextTerm);
    const isEarlierPrimary =
      result.ok &&
      result.value.role === 'primary' &&
      result.value.term < oldTerm;
    if (!isEarlierPrimary) {
      return result;
    }
    const steppedDown = await instances.stepDown(entry, oldTerm);
    return steppedDown.ok
      ? instances.pauseReplication(entry, this.nextTerm)
      : steppedDown;
  }
}

type ControlResult = Result<InstanceStatus, InstanceControlError>;
