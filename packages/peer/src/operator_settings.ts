import {randomUUID} from 'node:crypto';
import {SystemClock} from '@filbertrun/base/clock.js';
import {createSystemRandom} from '@filbertrun/base/random_source.js';
import type {SettingValues} from '@filbertrun/observability/settings.js';
import {HttpPlatformService} from '@filbertrun/platform/http_platform_service.js';
import type {PlatformService} from '@filbertrun/platform/platform_service.js';
import {z} from 'zod';
import {OperatorClient} from './operator_client.js';
import {WebSocketTransport} from './web_socket_transport.js';

/**
 * Settings and connections that all operators' programs share.
 *
 * @public
 */

/** Exit codes of operators' programs. @public */
export const OPERATOR_EXIT_CODES = {
  accepted: 0,
  refused: 1,
  /** Same as `EXIT_CODE_INVALID_SETTINGS`. */
  invalidSettings: 2,
  /** The platform and the proxies are unavailable, or the outcome is unknown. */
  unavailable: 3,
  /** Accepted, but not in force on every proxy within the timeout. */
  notInForce: 4,
} as const;

const booleanFlagSchema = z
  .enum(['true', 'false'])
  .transform(text => text === 'true');

/** Settings that all operators' programs share. @public */
export const OPERATOR_SETTINGS = {
  platformUrl: {
    description: "Base URL of the platform's service.",
    allowed: 'an http:// or https:// URL',
    defaultText: null,
    schema: z.url({protocol: /^https?$/}),
  },
  platformTimeoutMs: {
    description: 'Bound on one call to the platform.',
    allowed: 'an integer from 100 to 60000',
    defaultText: '3000',
    schema: z.coerce.number().int().min(100).max(60_000),
  },
  proxyUrls: {
    description:
      "Peer URLs of proxies, separated by commas; when empty, the platform's list gives them.",
    allowed: 'http:// or https:// URLs separated by commas, or nothing',
    defaultText: '',
    schema: z
      .string()
      .transform(text => text.split(',').filter(url => url !== ''))
      .pipe(z.array(z.url({protocol: /^https?$/}))),
  },
  operatorSecret: {
    description: 'Secret that operators show to proxies.',
    allowed: 'at least 8 characters',
    defaultText: 'development-operator-secret',
    schema: z.string().min(8),
    isSecret: true,
  },
  changeId: {
    description:
      'Names the change; a repeated call with the same id is one change. Generated when empty.',
    allowed: '1 to 64 letters, digits, ".", "_", ":" or "-", or nothing',
    defaultText: '',
    schema: z
      .string()
      .regex(/^[A-Za-z0-9._:-]{0,64}$/)
      .transform(text => (text === '' ? randomUUID() : text)),
  },
  baseVersion: {
    description:
      'Version that the operator looked at; another change of the same part since then wins.',
    allowed: 'a version number, or nothing',
    defaultText: '',
    schema: z
      .string()
      .regex(/^\d{0,15}$/)
      .transform(text => (text === '' ? null : Number(text))),
  },
  wait: {
    description: 'Waits until the change is in force on every proxy.',
    allowed: 'true or false',
    defaultText: 'false',
    schema: booleanFlagSchema,
    isBooleanFlag: true,
  },
  waitTimeoutMs: {
    description: 'Longest wait with --wait.',
    allowed: 'an integer from 100 to 600000',
    defaultText: '10000',
    schema: z.coerce.number().int().min(100).max(600_000),
  },
  json: {
    description: 'Prints one JSON object on standard output.',
    allowed: 'true or false',
    defaultText: 'false',
    schema: booleanFlagSchema,
    isBooleanFlag: true,
  },
} as const;

/** Values of the shared settings. @public */
export type OperatorSettings = SettingValues<typeof OPERATOR_SETTINGS>;

/** Dependencies of the commands of an operators' program. @public */
export interface OperatorContext {
  readonly client: OperatorClient;
  readonly platform: PlatformService;
}

/** The connections of an operators' program. @public */
export interface OperatorSession extends OperatorContext {
  dispose(): void;
}

/** Creates the connections of an operators' program. @public */
export function createOperatorSession(
  settings: OperatorSettings,
): OperatorSession {
  const clock = SystemClock.create();
  const platform = HttpPlatformService.create({
    baseUrl: settings.platformUrl,
    timeoutMs: settings.platformTimeoutMs,
  });
  const transport = WebSocketTransport.create({
    clock,
    secret: settings.operatorSecret,
    sourceAddress: null,
    tls: null,
  });
  const client = OperatorClient.create({
    platform,
    transport,
    proxyUrls: settings.proxyUrls,
    clock,
    random: createSystemRandom(),
  });
  return {
    client,
    platform,
    dispose: () => {
      transport.dispose();
      platform.dispose();
    },
  };
}
