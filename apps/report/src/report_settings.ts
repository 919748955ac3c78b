import type {SettingDefinitions} from '@filbertrun/observability/settings.js';
import {
  DEFAULT_OBJECTIVES,
  parseObjectives,
  type Objectives,
} from '@filbertrun/report/objectives.js';
import {z} from 'zod';

/**
 * Settings of `filbertrun-report`.
 */

const listSchema = z
  .string()
  .transform((text): readonly string[] =>
    text.split(',').filter(part => part !== ''),
  );

const objectivesTextSchema = z
  .string()
  .transform((text, context): Objectives => {
    const objectives = parseObjectives(text);
    if (objectives.ok) {
      return objectives.value;
    }
    context.addIssue({code: 'custom', message: objectives.error});
    return z.NEVER;
  });

/** Definitions of all settings. @public */
export const REPORT_SETTINGS = {
  operatorUrls: {
    description: 'Operator URLs of the proxies, separated by commas.',
    allowed: 'http or https URLs',
    defaultText: '',
    schema: listSchema.pipe(z.array(z.url({protocol: /^https?$/})).readonly()),
  },
  snapshotFiles: {
    description: 'Files with saved snapshots, separated by commas.',
    allowed: 'paths',
    defaultText: '',
    schema: listSchema.pipe(z.array(z.string()).readonly()),
  },
  logFiles: {
    description:
      'Log files of the proxies, separated by commas; prints the report on unserved statements instead.',
    allowed: 'paths',
    defaultText: '',
    schema: listSchema.pipe(z.array(z.string()).readonly()),
  },
  objectives: {
    description: 'Service-level objectives per application.',
    allowed:
      'JSON {"applications":{NAME:{"availabilityShare","latencyShare","latencyBoundMs","replicaReadShare"}},"failoverGapMs","failoverGapShare"}',
    defaultText: JSON.stringify(DEFAULT_OBJECTIVES),
    schema: objectivesTextSchema,
  },
  timeoutMs: {
    description: 'Timeout of a request to a proxy.',
    allowed: 'an integer from 10 to 60000 (milliseconds)',
    defaultText: '2000',
    schema: z.coerce.number().int().min(10).max(60_000),
  },
  format: {
    description:
      'Format of the report on standard output; --json is short for json.',
    allowed: 'text or json',
    defaultText: 'text',
    schema: z.enum(['text', 'json']),
  },
  html: {
    description: 'File for the report as an HTML page; empty for none.',
    allowed: 'a path',
    defaultText: '',
    schema: z.string(),
  },
  failOn: {
    description: 'Least urgent alert that makes the program exit with code 1.',
    allowed: 'never, ticket or page',
    defaultText: 'never',
    schema: z.enum(['never', 'ticket', 'page']),
  },
} as const satisfies SettingDefinitions;
