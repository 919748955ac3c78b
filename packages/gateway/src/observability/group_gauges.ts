import type {MetricsRegistry} from '@filbertrun/observability/metrics.js';
import type {GroupRuntime} from '../group/group_runtime.js';

const MS_PER_SECOND = 1_000;

/** Sets the gauges of one database group and its backend servers. @public */
export function collectGroupGauges(
  group: GroupRuntime,
  metrics: MetricsRegistry,
): void {
  const databaseGroup = {databaseGroup: group.databaseGroup};
  const leased = group.lease.getPrimary();
  metrics.setGauge(
    'filbertrun_primary_leased',
    'Whether the proxy holds a lease on a primary, as strict reads require.',
    leased === null ? 0 : 1,
    databaseGroup,
  );
  metrics.setGauge(
    'filbertrun_primary_term',
    'Term of the newest known primary.',
    group.lease.getLastKnownPrimary()?.term ?? 0,
    databaseGroup,
  );
  for (const {entry, pool, expectedLagMs} of group.getServers()) {
    const {openConnections, activeLeases, queueLength} = pool.getStatus();
    const labels = {...databaseGroup, backendServer: entry.backendServer};
    metrics.setGauge(
      'filbertrun_pool_connections',
      'Open connections to a backend server.',
      openConnections,
      labels,
    );
    metrics.setGauge(
      'filbertrun_pool_active',
      'Statements that are running on a backend server.',
      activeLeases,
      labels,
    );
    metrics.setGauge(
      'filbertrun_pool_queue_length',
      'Statements that are waiting for a connection.',
      queueLength,
      labels,
    );
    metrics.setGauge(
      'filbertrun_replica_expected_lag_seconds',
      'Expected replication lag of a replica.',
      expectedLagMs / MS_PER_SECOND,
      labels,
    );
  }
}
