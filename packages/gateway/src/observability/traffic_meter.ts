import type {MetricsRegistry} from '@filbertrun/observability/metrics.js';

/** Bytes that this process sends and receives, by what they are for. */

/** Who is at the other end. @public */
export type TrafficPeer = 'backendServer' | 'entryVm' | 'store';

/** Where the other end is; bytes between availability zones are paid for. @public */
export type TrafficReach = 'sameZone' | 'otherZone' | 'store';

/** A message or an answer. @public */
export interface Traffic {
  readonly peer: TrafficPeer;
  readonly reach: TrafficReach;
  /** What it is for, one of few words. */
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
      'Payload bytes sent and received, by what they were for.',
      {peer, reach, cause},
      bytes,
    );
  }
}

/** Counts nothing, for tests. @internal */
export const NO_TRAFFIC_METER: TrafficMeter = {record: () => {}};

/** Whether another place is in the own availability zone. @public */
export function getReach(ownZone: string, otherZone: string): TrafficReach {
  return ownZone === otherZone ? 'sameZone' : 'otherZone';
}
