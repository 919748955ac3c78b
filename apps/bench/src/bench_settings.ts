import type {SettingDefinitions} from '@filbertrun/observability/settings.js';
import {z} from 'zod';

/**
 * Command-line settings of the benchmark program.
 */

/** Definitions of all settings. @public */
export const BENCH_SETTINGS = {
  preset: {
    description: "Preset of the deployment; default: the scenario's preset.",
    allowed: 'default, atlas or malabar',
    defaultText: 'default',
    schema: z.enum(['default', 'atlas', 'malabar']),
  },
  seed: {
    description: 'Seed of the random load.',
    allowed: 'an integer from 0 to 2147483647',
    defaultText: '1',
    schema: z.coerce.number().int().min(0).max(2_147_483_647),
  },
  portBase: {
    description: 'First port of the range that the run uses.',
    allowed: 'an integer from 1024 to 60000',
    defaultText: '26000',
    schema: z.coerce.number().int().min(1024).max(60_000),
  },
  format: {
    description:
      'Format of the result on standard output; --json is short for json.',
    allowed: 'text or json',
    defaultText: 'text',
    schema: z.enum(['text', 'json']),
  },
} as const satisfies SettingDefinitions;
