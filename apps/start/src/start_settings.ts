import {z} from 'zod';

/** Settings of filbertrun-start. @internal */
export const START_SETTINGS = {
  preset: {
    description: 'Deployment to run.',
    allowed: 'atlas or malabar',
    defaultText: 'atlas',
    schema: z.enum(['atlas', 'malabar']),
  },
  portBase: {
    description:
      'First port: caller ports of the five proxies, then all other ports.',
    allowed: 'an integer from 1024 to 65000',
    defaultText: '6500',
    schema: z.coerce.number().int().min(1024).max(65_000),
  },
  json: {
    description: 'Print the deployment as one line of JSON once it is ready.',
    allowed: 'true or false; the flag alone means true',
    defaultText: 'false',
    schema: z.enum(['', 'true', 'false']).transform(text => text !== 'false'),
  },
} as const;
