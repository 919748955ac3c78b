import type {MetricsRegistry} from '@filbertrun/observability/metrics.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import {collectGroupGauges} from './group_gauges.js';

/** The current state of a proxy that its gauges show. @public */
export interface GatewayState {
  /** Version of the configuration in force; 0 without one. */
  readonly configurationVersion: number;
  /** Time since it was confirmed to be current; null if it never was. */
  readonly configurationAgeMs: number | null;
  readonly controlTableAgeMs: number;
  readonly isInContact: boolean;
  readonly storeEra: number;
  readonly loopDelayMs: number;
  readonly isReady: boolean;
  readonly isFailoverLeader: boolean;
  readonly groups: readonly GroupRuntime[];
}

const MS_PER_SECOND = 1_000;

const UNKNOWN_AGE_SECONDS = -1;

/** Sets the gauges that describe the current state. @public */
export function collectGatewayGauges(
  state: GatewayState,
  metrics: MetricsRegistry,
): void {
  metrics.setGauge(
    'filbertrun_configuration_version',
    'Version of the configuration in force.',
    state.configurationVersion,
  );
  metrics.setGauge(
    'filbertrun_configuration_age_seconds',
    'Time since the configuration was confirmed to be current; -1 if it was not since the start or a clock jump.',
    state.configurationAgeMs === null
      ? UNKNOWN_AGE_SECONDS
      : state.configurationAgeMs / MS_PER_SECOND,
  );
  metrics.setGauge(
    'filbertrun_control_table_age_seconds',
    'Time since the control table was last read.',
    state.controlTableAgeMs / MS_PER_SECOND,
  );
  metrics.setGauge(
    'filbertrun_in_contact',
    'Whether the store or a proxy of another zone has recently confirmed the primary records.',
    state.isInContact ? 1 : 0,
  );
  metrics.setGauge(
    'filbertrun_store_era',
    'Number of times that the store was restored from a backup.',
    state.storeEra,
  );
  metrics.setGauge(
    'filbertrun_loop_delay_seconds',
    'Delay of the latest periodic maintenance.',
    state.loopDelayMs / MS_PER_SECOND,
  );
  metrics.setGauge(
    'filbertrun_ready',
    'Whether the proxy is ready for new callers.',
    state.isReady ? 1 : 0,
  );
  metrics.setGauge(
    'filbertrun_failover_duty_held',
    'Whether this proxy is the failover leader.',
    state.isFailoverLeader ? 1 : 0,
  );
  for (const group of state.groups) {
    collectGroupGauges(group, metrics);
  }
}
