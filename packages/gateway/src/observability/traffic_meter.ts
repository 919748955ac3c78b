import type {MetricsRegistry} from '@filbertrun/observability/metrics.js';

/** Counts the bytes that this process sends and receives, by their cause. */

/** Kind of the remote end. @public */
export type TrafficPeer = 'backendServer' | 'entryVm' | 'store';

/**
 * Network locality of the remote end. Traffic between availability zones is
 * billed.
 *
 * @public
 */
export type TrafficLocality = 'sameZone' | 'otherZone' | 'store';

/** A request or a response. @public */
export interface Traffic {
  readonly peer: TrafficPeer;
  readonly reach: TrafficLocality;
  /** Purpose of the traffic; one of a small set of label values. */
  readonly cause: string;
  /** Bytes of the payload, without headers of lower layers. */
  readonly bytes: number;
}

/** Counts traffic. @public */
export interface TrafficMeter {
  record(traffic: Traffic): void;
}

/** Counts traffic in the metrics of the process. @public */
export class MetricsTrafficMeter implements TrafficMeter {
  private constructor(private readonly metrics: MetricsRegistry) {}

  static create(metrics: MetricsRegistry): MetricsTrafficMeter {
    return new MetricsTrafficMeter(metrics);
  }

  record({peer, reach, cause, bytes}: Traffic): void {
    this.metrics.increment(
      'filbertrun_traffic_bytes_total',
      'Payload bytes sent and received, by cause.',
      {peer, reach, cause},
      bytes,
    );
  }
}

/** Counts nothing, for tests. @internal */
export const NO_TRAFFIC_METER: TrafficMeter = {record: () => {}};

/** Returns the locality of a remote availability zone. @public */
export function getTrafficLocality(
  localZone: string,
  remoteZone: string,
): TrafficLocality {
  return localZone === remoteZone ? 'sameZone' : 'otherZone';
}
