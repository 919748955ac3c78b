import type {DatabaseGroupCluster} from './database_group_cluster.js';
import type {ZoneNetwork} from './zone_network.js';

/** Describes the instances and cuts for `GET /admin/state`. @internal */
export function describeState(
  network: ZoneNetwork,
  groups: readonly DatabaseGroupCluster[],
): unknown {
  const instances: unknown[] = [];
  for (const group of groups) {
    for (const instance of group.getInstances()) {
      instances.push(describeInstance(group, instance));
    }
  }
  return {
    availabilityZones: network.getAvailabilityZones(),
    cuts: network.listCuts(),
    instances,
  };
}

function describeInstance(
  group: DatabaseGroupCluster,
  instance: ReturnType<DatabaseGroupCluster['getInstances']>[number],
): unknown {
  const host = group.getHost(instance.backendServer);
  const core = host.getCore();
  return {
    databaseGroup: instance.databaseGroup,
    availabilityZone: instance.availabilityZone,
    port: host.getPort(),
    status: core.replication.getStatus(),
    faults: host.getFaults(),
    lagMs: group.getLagMs(instance.backendServer),
    limits: core.getLimits(),
    connections: core.getConnectionCount(),
    usedSlots: core.slots.getUsedSlots(),
    waitingStatements: core.slots.getWaiterCount(),
    executedStatements: core.getExecutedStatements(),
  };
}
