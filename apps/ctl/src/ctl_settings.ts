import {OPERATOR_SETTINGS} from '@filbertrun/peer/operator_settings.js';
import type {SettingValues} from '@filbertrun/observability/settings.js';
import {z} from 'zod';

/**
 * Commands and settings of filbertrun-ctl.
 *
 * @internal
 */

/** Commands of the program. @internal */
export const CTL_COMMANDS = {
  drain: {
    description: 'Gives a backend server no new work.',
    operands: '<backend-server>',
  },
  undrain: {
    description: 'Gives a backend server work again.',
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
      'Sets shares of replica reads, as NAME=WEIGHT with weights from 0 to 100.',
    operands: '<weights..>',
  },
  'change-primary': {
    description:
      'Makes another instance the primary; the system chooses when none is named.',
    operands: '<database-group> [backend-server]',
  },
  status: {
    description: 'Shows the version, the members and the primaries.',
    operands: '',
  },
} as const;

/** Names a command. @internal */
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
    description: 'Share of replica reads of an added backend server.',
    allowed: 'an integer from 0 to 100',
    defaultText: '100',
    schema: z.coerce.number().int().min(0).max(100),
  },
  slots: {
    description: 'Statements that an added backend server runs at once.',
    allowed: 'an integer from 1 to 10000',
    defaultText: '3',
    schema: z.coerce.number().int().min(1).max(10_000),
  },
  maxConnections: {
    description: 'Connections that an added backend server accepts.',
    allowed: 'an integer from 1 to 10000',
    defaultText: '20',
    schema: z.coerce.number().int().min(1).max(10_000),
  },
} as const;

/** Values of the settings. @internal */
export type CtlSettings = SettingValues<typeof CTL_SETTINGS>;
