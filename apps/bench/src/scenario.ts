import type {Logger} from '@filbertrun/observability/logger.js';

/**
 * Interface and result types of the benchmark scenarios.
 */

/** Presets of the stand-in deployment. @public */
export type PresetName = 'atlas' | 'malabar';

/** Options of a scenario run. @public */
export interface ScenarioContext {
  readonly preset: PresetName;
  /** Seeds every random choice of the load. */
  readonly seed: number;
  readonly portBase: number;
  /** Logs progress to stderr. */
  readonly logger: Logger;
}

/** A measured value or a group of them; names end in their unit. @public */
export type Figure =
  | number
  | string
  | boolean
  | null
  | readonly Figure[]
  | {readonly [name: string]: Figure};

/** A performance target and whether the run met it. @public */
export interface TargetResult {
  /** For example `crashGapMs.p99 <= 1000`. */
  readonly target: string;
  readonly isMet: boolean;
}

/** Result of a scenario run. @public */
export interface ScenarioResult {
  readonly figures: Readonly<Record<string, Figure>>;
  /** Violated guarantees that the load observed; must be 0. */
  readonly violations: number;
  readonly targets: readonly TargetResult[];
  /** Settings that must be equal for two runs to be comparable. */
  readonly settings: Readonly<Record<string, Figure>>;
}

/** A benchmark scenario. @public */
export interface Scenario {
  readonly name: string;
  readonly description: string;
  /** Preset for which the scenario's targets are defined. */
  readonly defaultPreset: PresetName;
  run(context: ScenarioContext): Promise<ScenarioResult>;
}
