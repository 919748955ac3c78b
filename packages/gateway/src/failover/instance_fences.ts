import type {Clock} from '@filbertrun/base/clock.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {
  InstanceControl,
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
        fence !== undefined && nowMs - fence.confirmedAtMs < CONFIRM_AFTER_MS;
      if (!isRecent && !this.pending.has(entry.backendServer)) {
        void this.fence(entry);
      }
    }
  }

  /** What is known of each instance now. */
  describe(entries: readonly BackendServerEntry[]): readonly FencedInstance[] {
    return entries.map(entry => this.describeInstance(entry));
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
    const status = this.findValidStatus(entry);
    return {
      backendServer: entry.backendServer,
      isOldPrimary: entry.backendServer === oldPrimary,
      isFenced: status !== null && this.isFenced(entry, status),
      isDraining: entry.state === 'draining',
      isNear: entry.availabilityZone === availabilityZone,
      receivedPosition: status?.receivedPosition ?? null,
    };
  }

  private findValidStatus(entry: BackendServerEntry): InstanceStatus | null {
    const fence = this.fences.get(entry.backendServer);
    if (fence === undefined) {
      return null;
    }
    const ageMs = this.options.clock.nowMs() - fence.confirmedAtMs;
    const isSameStart = fence.startedAtEpochMs === entry.startedAtEpochMs;
    return isSameStart && ageMs < FENCE_VALID_MS ? fence.status : null;
  }

  private isFenced(entry: BackendServerEntry, status: InstanceStatus): boolean {
    const {oldPrimary, oldTerm} = this.options;
    if (status.role !== 'replica') {
      return false;
    }
    return entry.backendServer === oldPrimary || status.pausedTerm > oldTerm;
  }

  private async fence(entry: BackendServerEntry): Promise<void> {
    const {instances, oldPrimary, oldTerm, clock} = this.options;
    const {backendServer, startedAtEpochMs} = entry;
    this.pending.add(backendServer);
    const newTerm = oldTerm + 1;
    const result =
      backendServer === oldPrimary
        ? await instances.stepDown(entry, newTerm)
        : await instances.pauseReplication(entry, newTerm);
    this.pending.delete(backendServer);
    if (result.ok) {
      this.fences.set(backendServer, {
        status: result.value,
        confirmedAtMs: clock.nowMs(),
        startedAtEpochMs,
      });
    }
  }
}
