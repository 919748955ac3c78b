import type {Clock} from '@filbertrun/base/clock.js';
import type {GatewayEventRecorder} from './gateway_event_recorder.js';

/** Options of a dependency tracker. @public */
export interface DependencyTrackerOptions {
  /** Name of the dependency in log events. */
  readonly dependency: string;
  readonly clock: Clock;
  readonly events: GatewayEventRecorder;
}

/** Logs when a dependency becomes unavailable and when it recovers. @public */
export class DependencyTracker {
  private lostAtMs: number | null = null;

  private constructor(private readonly options: DependencyTrackerOptions) {}

  static create(options: DependencyTrackerOptions): DependencyTracker {
    return new DependencyTracker(options);
  }

  markLost(reason: string): void {
    const {dependency, clock, events} = this.options;
    if (this.lostAtMs !== null) {
      return;
    }
    this.lostAtMs = clock.nowMs();
    events.record({kind: 'dependencyLost', dependency, reason});
  }

  markAvailable(): void {
    const {dependency, clock, events} = this.options;
    if (this.lostAtMs === null) {
      return;
    }
    const lostForMs = clock.nowMs() - this.lostAtMs;
    this.lostAtMs = null;
    events.record({kind: 'dependencyRegained', dependency, lostForMs});
  }
}
