import {z} from 'zod';

/** Settings of the launcher. @internal */
export const START_SETTINGS = {
  preset: {
    description: 'Deployment to run.',
    allowed: 'atlas or malabar',
    defaultText: 'atlas',
    schema: z.enum(['atlas', 'malabar']),
  },
  portBase: {
    description: 'First port: callers of the five proxies, then the rest.',
    allowed: 'an integer from 1024 to 65000',
    defaultText: '6500',
    schema: z.coerce.number().int().min(1024).max(65_000),
  },
  json: {
    description: 'Print one line of JSON when all is ready.',
    allowed: 'true or false; the flag alone means true',
    defaultText: 'false',
    schema: z.enum(['', 'true', 'false']).transform(text => text !== 'false'),
  },
} as const;
