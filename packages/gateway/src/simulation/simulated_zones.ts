import type {HistoryLayout} from './history_fault.js';
import {getMachine} from './machine_name.js';

/** Zones of the nodes: the instances and the proxies (entry VMs). */
type NodeZones = Readonly<Record<string, string>>;

/** With several zones, each has an instance: the primary `p` and two replicas. */
const INSTANCE_ZONES: NodeZones = {p: 'zone-a', r1: 'zone-b', r2: 'zone-c'};

const SHARED_ZONES: NodeZones = {
  ...INSTANCE_ZONES,
  e1: 'zone-a',
  e2: 'zone-b',
  e3: 'zone-c',
  e4: 'zone-b',
  e5: 'zone-b',
};

const CROWDED_ZONES: NodeZones = {
  ...SHARED_ZONES,
  e6: 'zone-b',
  e7: 'zone-b',
  e8: 'zone-b',
  e9: 'zone-b',
};

const PROXIES_APART = ['e1', 'e2', 'e3'] as const;

const PROXY_NAME = /^e\d+$/;

/** Proxies of a simulated deployment and the zones of all nodes. @internal */
export class SimulatedZones {
  private constructor(private readonly layout: HistoryLayout) {}

  static create(layout: HistoryLayout): SimulatedZones {
    return new SimulatedZones(layout);
  }

  /** Names of the proxies. */
  get proxies(): readonly string[] {
    return this.nodeZones === null
      ? PROXIES_APART
      : Object.keys(this.nodeZones).filter(node => PROXY_NAME.test(node));
  }

  /** Availability zone of a proxy or an instance. */
  getZone(node: string): string {
    const machine = getMachine(node);
    return this.nodeZones?.[machine] ?? `zone-${machine}`;
  }

  /** Nodes in the same zone as a node; with `apart`, only the node itself. */
  getNodesInZone(node: string): readonly string[] {
    return this.nodeZones === null
      ? [node]
      : Object.keys(this.nodeZones).filter(
          other => this.getZone(other) === this.getZone(node),
        );
  }

  private get nodeZones(): NodeZones | null {
    switch (this.layout) {
      case 'apart':
        return null;
      case 'shared':
        return SHARED_ZONES;
      case 'crowded':
        return CROWDED_ZONES;
    }
  }
}
