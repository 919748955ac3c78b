import type {SafetyOracle} from './safety_oracle.js';
import {OPTIONAL_ROUTE, type SimulatedOperator} from './simulated_operator.js';
import type {DisturbanceTracker} from './disturbance_tracker.js';

/** Time after the store accepts a version until every proxy must apply it. */
export const CONFIGURATION_APPLY_MS = 3_000;

/** A request on the optional route and its outcome. @internal */
export interface RouteProbe {
  readonly proxy: string;
  readonly incarnation: number;
  readonly startedAtMs: number;
  /** Whether the proxy allowed it. */
  readonly isAllowed: boolean;
}

/**
 * Checks which versions of the configuration a proxy can have used for a
 * request. A proxy must not use a version that was superseded more than
 * `CONFIGURATION_APPLY_MS` ago, nor a version older than one that the same
 * process has used before.
 *
 * @internal
 */
export class ConfigurationOracle {
  /**
   * Index of the oldest version that is consistent with all probes of a process
   * so far, by process.
   */
  private readonly oldestIndexes = new Map<string, number>();

  private constructor(
    private readonly operator: SimulatedOperator,
    private readonly disturbances: DisturbanceTracker,
    private readonly oracle: SafetyOracle,
  ) {}

  static create(
    operator: SimulatedOperator,
    disturbances: DisturbanceTracker,
    oracle: SafetyOracle,
  ): ConfigurationOracle {
    return new ConfigurationOracle(operator, disturbances, oracle);
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
    const isUndisturbed = this.disturbances.isUndisturbed(probe.proxy, nowMs);
    const isTimely = candidates.some(
      index =>
        this.getSupersededMs(index, probe.startedAtMs) < CONFIGURATION_APPLY_MS,
    );
    if (isUndisturbed && !isTimely) {
      this.oracle.report('lateConfiguration', key);
    }
  }

  /**
   * Checks the version in force on a proxy, null for none, by which it decides
   * also what no probe asks for.
   */
  checkVersion(proxy: string, version: number | null, nowMs: number): void {
    const index = this.operator.accepted.findIndex(
      ({configuration}) => configuration.version === version,
    );
    const lateMs = this.getSupersededMs(index, nowMs);
    if (
      this.disturbances.isUndisturbed(proxy, nowMs) &&
      lateMs >= CONFIGURATION_APPLY_MS
    ) {
      const {length} = this.operator.accepted;
      this.oracle.report(
        'lateConfiguration',
        `${proxy} has version ${version} of ${length}`,
      );
    }
  }

  /** Indexes from `from` upwards of the versions consistent with a probe. */
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

  /** Time since a version was superseded; negative if it was not yet. */
  private getSupersededMs(index: number, atMs: number): number {
    const next = this.operator.accepted[index + 1];
    return next === undefined
      ? Number.NEGATIVE_INFINITY
      : atMs - next.acceptedAtMs;
  }
}
