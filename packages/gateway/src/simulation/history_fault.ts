import {PHASE_ARMED_MS} from './phase_disturbances.js';
import {getPhaseFaultMs, type PhaseFault} from './phase_fault.js';
import type {PlatformTimes} from './simulated_group.js';
import type {TransferPlan} from './simulated_transfers.js';
import {ARMED_MS, DISTURBED_MS} from './leader_disturbances.js';

/** Faults and plans of simulated histories. */

/**
 * A fault with its start and duration, counted from the end of the warm-up.
 *
 * @internal
 */
export type HistoryFault =
  | PhaseFault
  /** The log of a replica arrives this much later than it is sent. */
  | {
      readonly kind: 'delayReplication';
      readonly atMs: number;
      readonly forMs: number;
      readonly replica: number;
      readonly delayMs: number;
    }
  | {
      readonly kind: 'crashPrimary';
      readonly atMs: number;
      readonly forMs: number;
    }
  | {
      readonly kind: 'crashReplica';
      readonly atMs: number;
      readonly forMs: number;
    }
  /** The primary is disconnected from some proxies, optionally from replicas. */
  | {
      readonly kind: 'isolatePrimary';
      readonly atMs: number;
      readonly forMs: number;
      readonly proxies: readonly number[];
      readonly isFromReplicas: boolean;
    }
  /**
   * A proxy is disconnected from the store, the promotion service and the other
   * proxies, but not from instances.
   */
  | {
      readonly kind: 'isolateProxy';
      readonly atMs: number;
      readonly forMs: number;
      readonly proxy: number;
    }
  | {
      readonly kind: 'disconnectStore';
      readonly atMs: number;
      readonly forMs: number;
      readonly proxy: number;
    }
  /** Two proxies are disconnected from each other only. */
  | {
      readonly kind: 'disconnectPeers';
      readonly atMs: number;
      readonly forMs: number;
      readonly proxies: readonly [number, number];
    }
  | {readonly kind: 'storeDown'; readonly atMs: number; readonly forMs: number}
  /** The store is unreachable for a while and restored from an older backup. */
  | {
      readonly kind: 'storeRestored';
      readonly atMs: number;
      readonly forMs: number;
      readonly ageMs: number;
    }
  /** Writes to the control table take effect, but their responses are lost. */
  | {
      readonly kind: 'loseWriteResponses';
      readonly atMs: number;
      readonly forMs: number;
    }
  | {readonly kind: 'killProxy'; readonly atMs: number; readonly proxy: number}
  | {
      readonly kind: 'stallReplication';
      readonly atMs: number;
      readonly forMs: number;
      readonly replica: number;
    }
  | {
      readonly kind: 'stepClock';
      readonly atMs: number;
      readonly proxy: number;
      readonly byMs: number;
    }
  | {readonly kind: 'drainPrimary'; readonly atMs: number}
  | {
      readonly kind: 'drainReplica';
      readonly atMs: number;
      readonly replica: number;
    }
  /**
   * The primary, a replica and a proxy are disconnected from everything else; with
   * shared zones, all nodes in the zone of the primary.
   */
  | {
      readonly kind: 'isolateZone';
      readonly atMs: number;
      readonly forMs: number;
      readonly replica: number;
      readonly proxy: number;
    }
  /**
   * The proxies of an availability zone are disconnected from the store, the
   * promotion service and the proxies of other zones, but not from each other or
   * from instances.
   */
  | {
      readonly kind: 'isolateZoneControl';
      readonly atMs: number;
      readonly forMs: number;
      readonly proxy: number;
    }
  /** A replica stops for good, and another service takes over its address. */
  | {
      readonly kind: 'reuseAddress';
      readonly atMs: number;
      readonly replica: number;
    }
  | {readonly kind: 'changeConfiguration'; readonly atMs: number}
  /** The store answers listings of the configuration late for some proxies. */
  | {
      readonly kind: 'delayConfiguration';
      readonly atMs: number;
      readonly forMs: number;
      readonly proxies: readonly number[];
    }
  /** All proxies are killed at once. */
  | {readonly kind: 'killAllProxies'; readonly atMs: number}
  /** An order whose leader is long gone promotes a replica. */
  | {
      readonly kind: 'lateOrder';
      readonly atMs: number;
      readonly replica: number;
    }
  /** A proxy is stopped as planned, ends a while later and is started again. */
  | {readonly kind: 'stopProxy'; readonly atMs: number; readonly proxy: number}
  /**
   * The platform accepts promotion orders this much later than they arrive, also
   * those whose caller has given up or has ended.
   */
  | {
      readonly kind: 'slowPromotions';
      readonly atMs: number;
      readonly forMs: number;
      readonly delayMs: number;
    }
  /**
   * The next proxies that record a step of a change of primary are struck some
   * time after it. With a higher count, so are the successors of the first.
   */
  | {
      readonly kind: 'disturbLeader';
      readonly atMs: number;
      readonly step: ChangeStep;
      readonly afterMs: number;
      readonly how: 'stop' | 'kill' | 'freeze' | 'isolate';
      readonly count: 1 | 2 | 3;
    };

/** A step of a change of primary: the event that is recorded there. @internal */
export type ChangeStep =
  | 'changeIntended'
  | 'promotionOrdered'
  | 'promotionAnswered'
  | 'changeCompleted';

/**
 * Placement of the nodes: with `apart`, each proxy and each instance is in an
 * availability zone of its own. With `shared`, there are three zones with an
 * instance each, and one of them has three proxies; with `crowded`, seven.
 *
 * @internal
 */
export type HistoryLayout = 'apart' | 'shared' | 'crowded';

/** Seed, layout and faults of one history. @internal */
export interface HistoryPlan {
  readonly seed: number;
  /** Default: `apart`. */
  readonly layout?: HistoryLayout;
  /** Time from an accepted order to its effect. Default: `PROMOTION_MS`. */
  readonly promotionMs?: number;
  /** Times that the platform's protocol leaves open. Default: prompt. */
  readonly platformTimes?: PlatformTimes;
  /** Duration after the warm-up. Default: `HISTORY_MS`. */
  readonly durationMs?: number;
  /** Sizes of configurations and links. Default: transfers take no time. */
  readonly transfers?: TransferPlan;
  readonly faults: readonly HistoryFault[];
}

/** End of the last fault, counted from the end of the warm-up. @internal */
export function getLastEndMs(faults: readonly HistoryFault[]): number {
  let lastMs = 0;
  for (const fault of faults) {
    const forMs =
      fault.kind === 'disturbLeader'
        ? ARMED_MS + DISTURBED_MS
        : fault.kind === 'inPhase'
          ? PHASE_ARMED_MS + getPhaseFaultMs(fault)
          : 'forMs' in fault
            ? fault.forMs
            : 0;
    lastMs = Math.max(lastMs, fault.atMs + forMs);
  }
  return lastMs;
}
