import type {Clock} from '@filbertrun/base/clock.js';
import type {Result} from '@filbertrun/base/result.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {
  InstanceControl,
  InstanceControlError,
  InstanceStatus,
} from '../backend/instance_control.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {FencedInstance} from './choose_promotion_target.js';

/** What the fences of one change are made of. @public */
export interface InstanceFencesOptions {
  readonly clock: Clock;
  readonly instances: InstanceControl;
  readonly oldPrimary: BackendServerId;
  readonly oldTerm: number;
  readonly availabilityZone: string;
}

interface Fence {
  /** Whether it led the old term; a restarted primary comes back under a new id. */
  readonly wasPrimary: boolean;
  readonly status: InstanceStatus;
  readonly confirmedAtMs: number;
  readonly startedAtEpochMs: number | null;
}

/** Age from which a fence is confirmed anew, because a restart undoes a pause. */
const CONFIRM_AFTER_MS = 400;

/** Age from which a fence counts no longer. */
const FENCE_VALID_MS = 1_500;

/**
 * Fences the instances of a group and keeps what each said. Each instance is
 * asked on its own, so one that does not answer holds up no other.
 *
 * @public
 */
export class InstanceFences {
  private readonly fences = new Map<BackendServerId, Fence>();
  private readonly pending = new Set<BackendServerId>();
  /** Instances in whose place another one answers. */
  private readonly replaced = new Set<BackendServerId>();

  private constructor(private readonly options: InstanceFencesOptions) {}

  static create(options: InstanceFencesOptions): InstanceFences {
    return new InstanceFences(options);
  }

  /** Asks each instance that is not fenced, or was fenced some time ago. */
  request(entries: readonly BackendServerEntry[]): void {
    const nowMs = this.options.clock.nowMs();
    for (const entry of entries) {
      const fence = this.fences.get(entry.backendServer);
      const isRecent =
        fence !== undefined &&
        this.isFenced(fence) &&
        nowMs - fence.confirmedAtMs < CONFIRM_AFTER_MS;
      if (!isRecent && !this.pending.has(entry.backendServer)) {
        void this.fence(entry);
      }
    }
  }

  /** What is known of each instance now. */
  describe(entries: readonly BackendServerEntry[]): readonly FencedInstance[] {
    return entries
      .filter(({backendServer}) => !this.replaced.has(backendServer))
      .map(entry => this.describeInstance(entry));
  }

  /** An instance that leads a later term already, from an earlier order. */
  findNewLeader(): {
    readonly backendServer: string;
    readonly term: number;
  } | null {
    for (const [backendServer, {status}] of this.fences) {
      if (status.role === 'primary' && status.term > this.options.oldTerm) {
        return {backendServer, term: status.term};
      }
    }
    return null;
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
      isBesideHolder: entry.availabilityZone === availabilityZone,
      receivedPosition: fence?.status.receivedPosition ?? null,
    };
  }

  private findValidFence(entry: BackendServerEntry): Fence | null {
    const fence = this.fences.get(entry.backendServer);
    if (fence === undefined) {
      return null;
    }
    const ageMs = this.options.clock.nowMs() - fence.confirmedAtMs;
    const isSameStart = fence.startedAtEpochMs === entry.startedAtEpochMs;
    return isSameStart && ageMs < FENCE_VALID_MS ? fence : null;
  }

  private isFenced({status, wasPrimary}: Fence): boolean {
    if (status.role !== 'replica') {
      return false;
    }
    return wasPrimary || status.pausedTerm > this.options.oldTerm;
  }

  private async fence(entry: BackendServerEntry): Promise<void> {
    const {clock} = this.options;
    const {backendServer, startedAtEpochMs} = entry;
    this.pending.add(backendServer);
    const wasPrimary = await this.findWhetherItLed(entry);
    const result = wasPrimary
      ? await this.stepDown(entry)
      : await this.pause(entry);
    this.pending.delete(backendServer);
    if (!result.ok && result.error.kind === 'wrongServer') {
      this.replaced.add(backendServer);
    }
    if (result.ok) {
      this.fences.set(backendServer, {
        wasPrimary,
        status: result.value,
        confirmedAtMs: clock.nowMs(),
        startedAtEpochMs,
      });
    }
  }

  /**
   * Whether an instance led the old term. One that says primary may be left
   * over from an earlier term, and its log then proves nothing.
   */
  private async findWhetherItLed(entry: BackendServerEntry): Promise<boolean> {
    const {instances, oldPrimary, oldTerm} = this.options;
    const known = this.fences.get(entry.backendServer);
    if (entry.backendServer === oldPrimary || known?.wasPrimary === true) {
      return true;
    }
    const saysPrimary =
      entry.reportedRole === 'primary' || known?.status.role === 'primary';
    if (!saysPrimary) {
      return false;
    }
    const status = await instances.getStatus(entry);
    return (
      status.ok &&
      status.value.role === 'primary' &&
      status.value.term === oldTerm
    );
  }

  private stepDown(entry: BackendServerEntry): Promise<ControlResult> {
    const {instances, oldTerm} = this.options;
    return instances.stepDown(entry, oldTerm + 1);
  }

  /** Pauses an instance; a primary of an earlier term has to step down first. */
  private async pause(entry: BackendServerEntry): Promise<ControlResult> {
    const {instances, oldTerm} = this.options;
    const result = await instances.pauseReplication(entry, oldTerm + 1);
    const leadsEarlierTerm =
      result.ok &&
      result.value.role === 'primary' &&
      result.value.term < oldTerm;
    if (!leadsEarlierTerm) {
      return result;
    }
    const steppedDown = await instances.stepDown(entry, oldTerm);
    return steppedDown.ok
      ? instances.pauseReplication(entry, oldTerm + 1)
      : steppedDown;
  }
}

type ControlResult = Result<InstanceStatus, InstanceControlError>;
