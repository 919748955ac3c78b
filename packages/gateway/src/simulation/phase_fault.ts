import type {ChangeStep} from './history_fault.js';
import type {LatencyRange} from './call_latency.js';
import type {GroupEventKind} from './simulated_group.js';

/** Faults in phase with a change of primary. */

/** An event after which a fault strikes. @internal */
export type PhaseTrigger = ChangeStep | GroupEventKind | 'commitAcknowledged';

/** An instance by its part in the latest change of primary. @internal */
export type InstanceRole =
  | 'primary'
  /** The instance that was last ordered to be promoted. */
  | 'target'
  /** The instance that was last paused. */
  | 'paused'
  | 'firstReplica'
  | 'secondReplica';

/** What strikes some time after the trigger. @internal */
export type PhaseAction =
  | {readonly kind: 'killLeader'}
  | {readonly kind: 'killAllProxies'}
  /** Kills all proxies but the one of this index. */
  | {readonly kind: 'killOtherProxies'; readonly proxy: number}
  | {readonly kind: 'freezeLeader'; readonly forMs: number}
  | {
      readonly kind: 'freezeProxy';
      readonly proxy: number;
      readonly forMs: number;
    }
  /** Disconnects a proxy from the store, the platform and other proxies. */
  | {
      readonly kind: 'isolateProxy';
      readonly proxy: number;
      readonly forMs: number;
    }
  /** Disconnects a proxy from an instance only. */
  | {
      readonly kind: 'cutLink';
      readonly proxy: number;
      readonly instance: InstanceRole;
      readonly forMs: number;
    }
  /**
   * Disconnects the zone of an instance, or the instance with one proxy, from
   * everything else; `with` is cut off together with it.
   */
  | {
      readonly kind: 'cutZone';
      readonly instance: InstanceRole;
      readonly with: InstanceRole;
      readonly proxy: number;
      readonly forMs: number;
    }
  /** Disconnects all proxies but one, and the store, from an instance. */
  | {
      readonly kind: 'hideInstance';
      readonly instance: InstanceRole;
      readonly proxy: number;
      readonly forMs: number;
    }
  /** Crashes an instance, which starts again under the same id. */
  | {
      readonly kind: 'restartInstance';
      readonly instance: InstanceRole;
      readonly downMs: number;
    }
  /** Ends an instance, whose log goes to a new one at its address. */
  | {
      readonly kind: 'replaceInstance';
      readonly instance: InstanceRole;
      readonly downMs: number;
    }
  | {readonly kind: 'drainInstance'; readonly instance: InstanceRole}
  /** A replica receives nothing although it is reachable. */
  | {
      readonly kind: 'stallReplica';
      readonly instance: 'firstReplica' | 'secondReplica';
      readonly forMs: number;
    }
  /** An instance sends no heartbeats, but goes on receiving. */
  | {
      readonly kind: 'silenceInstance';
      readonly instance: InstanceRole;
      readonly forMs: number;
    }
  | {
      readonly kind: 'slowStore' | 'slowControl';
      readonly forMs: number;
      readonly latency: LatencyRange;
    };

/** An action that strikes the next time that a trigger occurs. @internal */
export interface PhaseFault {
  readonly kind: 'inPhase';
  /** Time from which the trigger counts. */
  readonly atMs: number;
  readonly trigger: PhaseTrigger;
  /** Occurrences of the trigger that are passed over. */
  readonly skip: number;
  readonly afterMs: number;
  readonly action: PhaseAction;
}

/** Time from the trigger to the end of the action. @internal */
export function getPhaseFaultMs({afterMs, action}: PhaseFault): number {
  const forMs = 'forMs' in action ? action.forMs : 0;
  const downMs = 'downMs' in action ? action.downMs : 0;
  return afterMs + forMs + downMs;
}
