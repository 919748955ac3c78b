import type {SafetyOracle} from './safety_oracle.js';
import {OPTIONAL_ROUTE, type SimulatedOperator} from './simulated_operator.js';
import type {DisturbanceTracker} from './disturbance_tracker.js';

/** Time after its acceptance from which a version is in force. */
export const CONFIGURATION_APPLY_MS = 3_000;

/** A request on the optional route. @internal */
export interface RouteProbe {
  readonly proxy: string;
  readonly incarnation: number;
  readonly startedAtMs: number;
  /** Whether the proxy allowed it. */
  readonly isAllowed: boolean;
}

/**
 * Judges by which version of the configuration a proxy can have handled a
 * request: by none that was superseded long ago, and by none older than one
 * that the same process has already followed.
 *
 * @internal
 */
export class ConfigurationOracle {
  /** Oldest version that explains the probes of a process, by its index. */
  private readonly oldestIndexes = new Map<string, number>();

  private constructor(
    private readonly operator: SimulatedOperator,
    private readonly disturbances: DisturbanceTracker,
    private readonly oracle: SafetyOracle,
  ) {}

  static create(
    operator: SimulatedOperator,
    touch: DisturbanceTracker,
    oracle: SafetyOracle,
  ): ConfigurationOracle {
    return new ConfigurationOracle(operator, touch, oracle);
  }

  checkProbe(probe: RouteProbe, nowMs: number): void {
    const key = `${probe.proxy}-${probe.incarnation}`;
    const candidates = this.findCandidates(
      probe,
      this.oldestIndexes.get(key) ?? 0,
    );
    const [first] = candidates;
    if (first === undefined) {
      this.oracle.report('configurationRegressed', key);
      return;
    }
    this.oldestIndexes.set(key, first);
    const isInTouch = this.disturbances.isUndisturbed(probe.proxy, nowMs);
    const isTimely = candidates.some(
      index =>
        this.getSupersededMs(index, probe.startedAtMs) < CONFIGURATION_APPLY_MS,
    );
    if (isInTouch && !isTimely) {
      this.oracle.report('lateConfiguration', key);
    }
  }

  /** Indexes, from `from` on, of the versions that explain a probe. */
  private findCandidates(probe: RouteProbe, from: number): readonly number[] {
    const candidates: number[] = [];
    for (const [index, {configuration}] of this.operator.accepted.entries()) {
      const isAllowed = configuration.routes.has(OPTIONAL_ROUTE);
      if (index >= from && isAllowed === probe.isAllowed) {
        candidates.push(index);
      }
    }
    return candidates;
  }

  /** Time for which a version had been superseded; negative while it was not. */
  private getSupersededMs(index: number, atMs: number): number {
    const next = this.operator.accepted[index + 1];
    return next === undefined
      ? Number.NEGATIVE_INFINITY
      : atMs - next.acceptedAtMs;
  }
}
