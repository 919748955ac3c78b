import {OPERATOR_SETTINGS} from '@filbertrun/peer/operator_settings.js';
import type {SettingValues} from '@filbertrun/observability/settings.js';
import {z} from 'zod';

/**
 * Commands and settings of filbertrun-ctl.
 *
 * @internal
 */

/** Commands with their operands and help texts. @internal */
export const CTL_COMMANDS = {
  drain: {
    description: 'Drains a backend server: it gets no new work.',
    operands: '<backend-server>',
  },
  undrain: {
    description: 'Ends the drain of a backend server.',
    operands: '<backend-server>',
  },
  add: {
    description:
      'Adds a backend server, and its database group if that is new. Needs --availability-zone, --backend-host and --backend-port.',
    operands: '<database-group> <backend-server>',
  },
  remove: {
    description: 'Removes a drained backend server.',
    operands: '<backend-server>',
  },
  shift: {
    description:
      'Sets the weights of backend servers for replica reads, as NAME=WEIGHT with weights from 0 to 100.',
    operands: '<weights..>',
  },
  'change-primary': {
    description:
      'Makes another instance the primary; the proxies choose one if none is named.',
    operands: '<database-group> [backend-server]',
  },
  status: {
    description:
      'Shows the configuration version, the proxies and the primaries.',
    operands: '',
  },
} as const;

/** Name of a command. @internal */
export type CtlCommand = keyof typeof CTL_COMMANDS;

/** Settings of the program. @internal */
export const CTL_SETTINGS = {
  ...OPERATOR_SETTINGS,
  availabilityZone: {
    description: 'Availability zone of an added backend server.',
    allowed: 'a name of at most 64 characters',
    defaultText: '',
    schema: z.string().max(64),
  },
  backendHost: {
    description: 'Address of an added backend server.',
    allowed: 'a host name or IP address',
    defaultText: '',
    schema: z.string().max(255),
  },
  backendPort: {
    description: 'Port of an added backend server.',
    allowed: 'an integer from 1 to 65535',
    defaultText: '5432',
    schema: z.coerce.number().int().min(1).max(65_535),
  },
  weight: {
    description: 'Weight of an added backend server for replica reads.',
    allowed: 'an integer from 0 to 100',
    defaultText: '100',
    schema: z.coerce.number().int().min(0).max(100),
  },
  slots: {
    description:
      'Maximum number of concurrent statements on an added backend server.',
    allowed: 'an integer from 1 to 10000',
    defaultText: '3',
    schema: z.coerce.number().int().min(1).max(10_000),
  },
  maxConnections: {
    description: 'Maximum number of connections to an added backend server.',
    allowed: 'an integer from 1 to 10000',
    defaultText: '20',
    schema: z.coerce.number().int().min(1).max(10_000),
  },
} as const;

/** Values of the settings. @internal */
export type CtlSettings = SettingValues<typeof CTL_SETTINGS>;
