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
    'Whether strict reads may rely on a primary.',
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
      'Statements that run at a backend server.',
      activeLeases,
      labels,
    );
    metrics.setGauge(
      'filbertrun_pool_queue_length',
      'Statements that wait for a connection.',
      queueLength,
      labels,
    );
    metrics.setGauge(
      'filbertrun_replica_expected_lag_seconds',
      'Time by which a replica is expected to be behind.',
      expectedLagMs / MS_PER_SECOND,
      labels,
    );
  }
}
