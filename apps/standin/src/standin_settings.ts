import {z} from 'zod';

/** Settings of filbertrun-standin. @internal */
export const STANDIN_SETTINGS = {
  preset: {
    description: 'Deployment to simulate.',
    allowed: 'atlas or malabar',
    defaultText: 'atlas',
    schema: z.enum(['atlas', 'malabar']),
  },
  host: {
    description: 'Address to listen on.',
    allowed: 'a loopback IP address',
    defaultText: '127.0.0.1',
    schema: z.string().regex(/^127(?:\.\d{1,3}){3}$/),
  },
  portBase: {
    description:
      'First port: nine instances, then the platform, then the admin interface.',
    allowed: '0 for any free ports, or an integer from 1024 to 65000',
    defaultText: '6530',
    schema: z.coerce
      .number()
      .int()
      .max(65_000)
      .refine(port => port === 0 || port >= 1024),
  },
  backendUser: {
    description: 'User name that the instances accept.',
    allowed: 'a name',
    defaultText: 'filbertrun',
    schema: z.string().min(1).max(63),
  },
  backendPassword: {
    description: 'Password that the instances accept.',
    allowed: 'at least 8 characters',
    defaultText: 'filbertrun-backend',
    schema: z.string().min(8),
    isSecret: true,
  },
  logLevel: {
    description: 'Minimum severity of log events.',
    allowed: 'debug, info, warn or error',
    defaultText: 'info',
    schema: z.enum(['debug', 'info', 'warn', 'error']),
  },
} as const;
