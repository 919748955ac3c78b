/** The faults of a drawn history. */

/** A fault and when it strikes. @internal */
export type HistoryFault =
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
  /** The primary is cut off from some proxies, and perhaps from its replicas. */
  | {
      readonly kind: 'cutPrimary';
      readonly atMs: number;
      readonly forMs: number;
      readonly proxies: readonly number[];
      readonly isFromReplicas: boolean;
    }
  /** A proxy is cut off from the store and the other proxies, not from instances. */
  | {
      readonly kind: 'cutProxy';
      readonly atMs: number;
      readonly forMs: number;
      readonly proxy: number;
    }
  | {
      readonly kind: 'cutStore';
      readonly atMs: number;
      readonly forMs: number;
      readonly proxy: number;
    }
  /** Two proxies are cut off from each other only. */
  | {
      readonly kind: 'cutPeers';
      readonly atMs: number;
      readonly forMs: number;
      readonly proxies: readonly [number, number];
    }
  | {readonly kind: 'storeDown'; readonly atMs: number; readonly forMs: number}
  /** The store is away for a moment and comes back from a copy of an age. */
  | {
      readonly kind: 'storeRestored';
      readonly atMs: number;
      readonly forMs: number;
      readonly ageMs: number;
    }
  | {
      readonly kind: 'answersLost';
      readonly atMs: number;
      readonly forMs: number;
    }
  | {readonly kind: 'killProxy'; readonly atMs: number; readonly proxy: number}
  | {
      readonly kind: 'deafReplica';
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
  /** The primary, a replica and a proxy are cut off from everything else. */
  | {
      readonly kind: 'cutZone';
      readonly atMs: number;
      readonly forMs: number;
      readonly replica: number;
      readonly proxy: number;
    }
  /**
   * The proxies of an availability zone are cut off from the store and the
   * proxies of other zones, not from each other and not from instances.
   */
  | {
      readonly kind: 'cutZoneControl';
      readonly atMs: number;
      readonly forMs: number;
      readonly proxy: number;
    }
  /** A replica ends for good, and another service takes over its address. */
  | {
      readonly kind: 'reuseAddress';
      readonly atMs: number;
      readonly replica: number;
    }
  | {readonly kind: 'changeConfiguration'; readonly atMs: number}
  /** All processes end at once. */
  | {readonly kind: 'killAllProxies'; readonly atMs: number};

/**
 * Where the parties are: `apart` gives each proxy and each instance an
 * availability zone of its own, `shared` has three zones with an instance each
 * and three proxies in one of them.
 *
 * @internal
 */
export type HistoryLayout = 'apart' | 'shared';

/** One history to play. @internal */
export interface HistoryPlan {
  readonly seed: number;
  /** `apart` unless another one is named. */
  readonly layout?: HistoryLayout;
  readonly faults: readonly HistoryFault[];
}

/** End of the last fault, counted from the end of the warm-up. @internal */
export function getLastEndMs(faults: readonly HistoryFault[]): number {
  let lastMs = 0;
  for (const fault of faults) {
    const forMs = 'forMs' in fault ? fault.forMs : 0;
    lastMs = Math.max(lastMs, fault.atMs + forMs);
  }
  return lastMs;
}
