import type {Logger} from '@filbertrun/observability/logger.js';

/**
 * What every scenario of the bench has in common.
 */

/** Presets of the stand-in deployment. @public */
export type PresetName = 'atlas' | 'malabar';

/** What a scenario is given. @public */
export interface ScenarioContext {
  readonly preset: PresetName;
  /** Determines every random choice of the load. */
  readonly seed: number;
  readonly portBase: number;
  /** Writes progress to stderr. */
  readonly logger: Logger;
}

/** A figure or a group of figures; names end in their unit. @public */
export type Figure =
  | number
  | string
  | boolean
  | null
  | readonly Figure[]
  | {readonly [name: string]: Figure};

/** A stated target and whether the run met it. @public */
export interface TargetResult {
  /** For example `crashGapMs.p99 <= 1000`. */
  readonly target: string;
  readonly isMet: boolean;
}

/** What a scenario measured. @public */
export interface ScenarioResult {
  readonly figures: Readonly<Record<string, Figure>>;
  /** Broken promises that the load saw; 0 is the only good number. */
  readonly violations: number;
  readonly targets: readonly TargetResult[];
  /** Settings of the load that matter for comparing two runs. */
  readonly settings: Readonly<Record<string, Figure>>;
}

/** One scenario of the bench. @public */
export interface Scenario {
  readonly name: string;
  readonly description: string;
  /** Preset that the scenario's target is stated for. */
  readonly defaultPreset: PresetName;
  run(context: ScenarioContext): Promise<ScenarioResult>;
}
