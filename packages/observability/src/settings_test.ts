import {describe, expect, it} from 'vitest';
import {z} from 'zod';
import {
  describeSettingsError,
  readCommandSettings,
  readSettings,
} from './settings.js';

const DEFINITIONS = {
  listenPort: {
    description: 'Port for callers.',
    allowed: 'an integer from 1 to 65535',
    defaultText: '6432',
    schema: z.coerce.number().int().min(1).max(65535),
  },
  entryVm: {
    description: 'Name of this entry VM.',
    allowed: 'a name',
    defaultText: null,
    schema: z.string().min(1),
  },
  tokenKey: {
    description: 'Signing key.',
    allowed: 'at least 8 characters',
    defaultText: 'development',
    schema: z.string().min(8),
    isSecret: true,
  },
} as const;

function read(argv: string[], environment: Record<string, string> = {}) {
  return readSettings(DEFINITIONS, {
    programName: 'test',
    argv,
    environment,
  });
}

describe('readSettings', () => {
  it('prefers a flag to the environment and the environment to the default', () => {
    const environment = {
      FILBERTRUN_LISTEN_PORT: '7000',
      FILBERTRUN_ENTRY_VM: 'entry-1',
    };
    const fromEnvironment = read([], environment);
    const fromFlag = read(['--listen-port', '8000'], environment);
    expect(fromEnvironment).toMatchObject({value: {listenPort: 7000}});
    expect(fromFlag).toMatchObject({value: {listenPort: 8000}});
  });

  it('reports the flag, the invalid value and the allowed values', () => {
    const result = read(['--entry-vm', 'a', '--listen-port', '70000']);
    expect(result.ok).toBe(false);
    if (!result.ok) {
      expect(describeSettingsError(result.error)).toBe(
        '--listen-port (FILBERTRUN_LISTEN_PORT) has the invalid value "70000"; allowed: an integer from 1 to 65535',
      );
    }
  });

  it('rejects a missing value of a setting without a default', () => {
    expect(read([])).toMatchObject({
      ok: false,
      error: {kind: 'missingValue', flag: '--entry-vm'},
    });
  });

  it('rejects an unknown flag', () => {
    expect(read(['--entry-vm', 'a', '--no-such-flag', 'x'])).toMatchObject({
      ok: false,
      error: {kind: 'unknownFlag'},
    });
  });

  it('does not include a secret in an error', () => {
    const result = read(['--entry-vm', 'a', '--token-key', 'short']);
    expect(JSON.stringify(result)).not.toContain('short');
  });
});

const COMMANDS = {
  drain: {description: 'Drains a server.', operands: '<server>'},
  shift: {description: 'Shifts load.', operands: '<weights..>'},
  status: {description: 'Prints the status.', operands: '[group]'},
} as const;

const COMMAND_DEFINITIONS = {
  json: {
    description: 'Prints JSON.',
    allowed: 'true or false',
    defaultText: 'false',
    schema: z.enum(['true', 'false']).transform(text => text === 'true'),
    isBooleanFlag: true,
  },
} as const;

function readCommand(...argv: string[]) {
  return readCommandSettings(COMMANDS, COMMAND_DEFINITIONS, {
    programName: 'test',
    argv,
    environment: {},
  });
}

describe('readCommandSettings', () => {
  it('returns the command, its operands and the settings', () => {
    expect(readCommand('drain', '--json', '007')).toEqual({
      ok: true,
      value: {
        command: {name: 'drain', operands: ['007']},
        settings: {json: true},
      },
    });
  });

  it('accepts repeated operands and omitted optional operands', () => {
    expect(readCommand('shift', 'a=1', 'b=2')).toMatchObject({
      value: {command: {operands: ['a=1', 'b=2']}, settings: {json: false}},
    });
    expect(readCommand('status')).toMatchObject({
      value: {command: {name: 'status', operands: []}},
    });
  });

  it.each([[[]], [['drain']], [['no-such-command']], [['drain', 'a', 'b']]])(
    'rejects the arguments %j',
    argv => {
      expect(readCommand(...argv)).toMatchObject({
        ok: false,
        error: {kind: 'unknownFlag'},
      });
    },
  );
});
