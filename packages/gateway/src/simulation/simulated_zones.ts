import type {HistoryLayout} from './history_fault.js';
import {getMachine} from './machine_name.js';

/**
 * Zones of the nodes with the layout `shared`: the primary `p`, the replicas
 * `r1` and `r2`, and the proxies (entry VMs) `e1` to `e5`.
 */
const SHARED_ZONES: Readonly<Record<string, string>> = {
  p: 'zone-a',
  r1: 'zone-b',
  r2: 'zone-c',
  e1: 'zone-a',
  e2: 'zone-b',
  e3: 'zone-c',
  e4: 'zone-b',
  e5: 'zone-b',
};

const PROXIES_APART = ['e1', 'e2', 'e3'] as const;

const PROXIES_SHARED = ['e1', 'e2', 'e3', 'e4', 'e5'] as const;

/** Proxies of a simulated deployment and the zones of all nodes. @internal */
export class SimulatedZones {
  private constructor(private readonly layout: HistoryLayout) {}

  static create(layout: HistoryLayout): SimulatedZones {
    return new SimulatedZones(layout);
  }

  /** Names of the proxies. */
  get proxies(): readonly string[] {
    return this.layout === 'apart' ? PROXIES_APART : PROXIES_SHARED;
  }

  /** Availability zone of a proxy or an instance. */
  getZone(node: string): string {
    const machine = getMachine(node);
    const shared = this.layout === 'shared' ? SHARED_ZONES[machine] : undefined;
    return shared ?? `zone-${machine}`;
  }

  /** Nodes in the same zone as a node; with `apart`, only the node itself. */
  getNodesInZone(node: string): readonly string[] {
    return this.layout === 'apart'
      ? [node]
      : Object.keys(SHARED_ZONES).filter(
          other => this.getZone(other) === this.getZone(node),
        );
  }
}
