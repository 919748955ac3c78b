import type {
  SettingDefinition,
  SettingValues,
} from '@filbertrun/observability/settings.js';
import {z} from 'zod';

/**
 * The settings of `filbertrun-proxy`.
 */

const MAX_PORT = 65_535;
const MIN_SECRET_CHARACTERS = 8;

const portSchema = z.coerce.number().int().min(0).max(MAX_PORT);
const nameSchema = z.string().min(1).max(64);
const optionalTextSchema = z
  .string()
  .transform(text => (text === '' ? null : text));

/** Definitions of the settings. @public */
export const PROXY_SETTINGS = {
  entryVm: {
    description: 'Name of this entry VM.',
    allowed: 'a name of 1 to 64 characters',
    defaultText: null,
    schema: nameSchema,
  },
  availabilityZone: {
    description: 'Availability zone of this entry VM.',
    allowed: 'a name of 1 to 64 characters',
    defaultText: null,
    schema: nameSchema,
  },
  listenHost: {
    description: 'Address on which callers are accepted.',
    allowed: 'an IP address or host name',
    defaultText: '127.0.0.1',
    schema: z.string().min(1).max(255),
  },
  listenPort: definePort('Port for callers; 0 picks a free one.', '6432'),
  operatorPort: definePort('Port of /metrics, /healthz and /readyz.', '6433'),
  peerPort: {
    description: 'Port for other proxies and operators.',
    allowed: `an integer from 1 to ${MAX_PORT}`,
    defaultText: '6434',
    schema: portSchema.min(1),
  },
  peerHost: {
    description: 'Address by which other proxies reach this one.',
    allowed: 'an IP address or host name',
    defaultText: '127.0.0.1',
    schema: z.string().min(1).max(255),
  },
  peerUrl: {
    description:
      'URL announced to other proxies, if it differs from peer host and port.',
    allowed: 'an http or https URL, or empty',
    defaultText: '',
    schema: z
      .union([z.literal(''), z.url({protocol: /^https?$/})])
      .transform(text => (text === '' ? null : text)),
  },
  platformUrl: {
    description: 'Base URL of the platform.',
    allowed: 'an http or https URL',
    defaultText: null,
    schema: z.url({protocol: /^https?$/}),
  },
  sourceAddress: {
    description: 'Local address of connections to backend servers.',
    allowed: 'an IP address, or empty for any',
    defaultText: '',
    schema: optionalTextSchema,
  },
  callerUser: {
    description: 'User that callers log in as.',
    allowed: 'a name of 1 to 64 characters',
    defaultText: 'filbertrun',
    schema: nameSchema,
  },
  callerPassword: defineSecret('Password of callers.', 1),
  callerAuthentication: {
    description: 'Authentication method for callers; `password` needs TLS.',
    allowed: 'scram-sha-256 or password',
    defaultText: 'scram-sha-256',
    schema: z.enum(['scram-sha-256', 'password']),
  },
  backendUser: {
    description: 'User for connections to backend servers.',
    allowed: 'a name of 1 to 64 characters',
    defaultText: 'filbertrun',
    schema: nameSchema,
  },
  backendPassword: defineSecret(
    'Password for connections to backend servers.',
    1,
  ),
  tokenKey: defineSecret(
    'Keys of session tokens, separated by commas; the first one signs new tokens.',
    MIN_SECRET_CHARACTERS,
  ),
  peerKey: defineSecret(
    'Shared secret for connections between proxies.',
    MIN_SECRET_CHARACTERS,
  ),
  operatorKey: defineSecret(
    'Secret of operators and automation.',
    MIN_SECRET_CHARACTERS,
  ),
  tlsCertificateFile: defineFile('Certificate chain for callers, PEM.'),
  tlsKeyFile: defineFile('Private key of the certificate, PEM.'),
  logLevel: {
    description: 'Minimum severity of logged events.',
    allowed: 'debug, info, warn or error',
    defaultText: 'info',
    schema: z.enum(['debug', 'info', 'warn', 'error']),
  },
  maxCallerConnections: defineInteger(
    'Maximum number of connections of callers.',
    {minimum: 1, maximum: 100_000, defaultValue: 10_000},
  ),
  statementDeadlineMs: defineInteger(
    'Time after which a waiting statement fails, in ms.',
    {minimum: 100, maximum: 600_000, defaultValue: 10_000},
  ),
  answerSilenceMs: defineInteger(
    'Time without a byte of a response after which its connection is closed, in ms.',
    {minimum: 100, maximum: 3_600_000, defaultValue: 30_000},
  ),
  backendConnectTimeoutMs: defineInteger(
    'Timeout for connecting to a backend server, in ms.',
    {minimum: 10, maximum: 60_000, defaultValue: 2_000},
  ),
  shutdownTimeoutMs: defineInteger(
    'Time allowed for open transactions to end on a graceful stop, in ms.',
    {minimum: 0, maximum: 600_000, defaultValue: 20_000},
  ),
} as const;

/** The values of the settings. @public */
export type ProxySettings = SettingValues<typeof PROXY_SETTINGS>;

interface IntegerBounds {
  readonly minimum: number;
  readonly maximum: number;
  readonly defaultValue: number;
}

function definePort(
  description: string,
  defaultText: string,
): SettingDefinition<number> {
  return {
    description,
    allowed: `an integer from 0 to ${MAX_PORT}`,
    defaultText,
    schema: portSchema,
  };
}

function defineInteger(
  description: string,
  bounds: IntegerBounds,
): SettingDefinition<number> {
  const {minimum, maximum, defaultValue} = bounds;
  return {
    description,
    allowed: `an integer from ${minimum} to ${maximum}`,
    defaultText: String(defaultValue),
    schema: z.coerce.number().int().min(minimum).max(maximum),
  };
}

function defineSecret(
  description: string,
  minLength: number,
): SettingDefinition<string> {
  return {
    description,
    allowed: `at least ${minLength} characters`,
    defaultText: null,
    schema: z.string().min(minLength),
    isSecret: true,
  };
}

function defineFile(description: string): SettingDefinition<string | null> {
  return {
    description,
    allowed: 'a path, or empty for no TLS',
    defaultText: '',
    schema: optionalTextSchema,
  };
}
