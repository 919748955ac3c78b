import {failure, success, type Result} from '@filbertrun/base/result.js';
import yargs from 'yargs';
import type {z} from 'zod';

/**
 * Settings of a program: one definition gives the flag, the environment
 * variable, the default and the check of a value.
 */

/** Prefix of the environment variables. */
const ENVIRONMENT_PREFIX = 'FILBERTRUN_';

/** The definition of one setting. @public */
export interface SettingDefinition<T> {
  /** What the setting does; shown by `--help` and in the settings table. */
  readonly description: string;
  /** Which values are allowed, in words; named in an error. */
  readonly allowed: string;
  /** Value as text when none is given; null makes the setting required. */
  readonly defaultText: string | null;
  /** Turns the text into a value, or rejects it. */
  readonly schema: z.ZodType<T>;
  /** Whether the value must not appear in logs or `--help`. */
  readonly isSecret?: boolean;
}

/** Definitions by setting name in camel case. @public */
export type SettingDefinitions = Readonly<
  Record<string, SettingDefinition<unknown>>
>;

/** The values that a set of definitions yields. @public */
export type SettingValues<D extends SettingDefinitions> = {
  readonly [K in keyof D]: D[K] extends SettingDefinition<infer T> ? T : never;
};

/** Why settings were refused. @public */
export type SettingsError =
  | {
      readonly kind: 'invalidValue';
      readonly flag: string;
      readonly environmentVariable: string;
      readonly value: string;
      readonly allowed: string;
    }
  | {
      readonly kind: 'missingValue';
      readonly flag: string;
      readonly environmentVariable: string;
      readonly allowed: string;
    }
  | {readonly kind: 'unknownFlag'; readonly message: string};

/** Exit code for settings that were refused. @public */
export const EXIT_CODE_INVALID_SETTINGS = 2;

/** Flag of a setting: `listenPort` becomes `--listen-port`. @public */
export function getFlag(settingName: string): string {
  return `--${toKebabCase(settingName)}`;
}

/** Environment variable of a setting: `listenPort` becomes `FILBERTRUN_LISTEN_PORT`. @public */
export function getEnvironmentVariable(settingName: string): string {
  const name = toKebabCase(settingName).replaceAll('-', '_').toUpperCase();
  return `${ENVIRONMENT_PREFIX}${name}`;
}

/** Where settings are read from. @public */
export interface SettingSources {
  readonly programName: string;
  /** Command-line arguments without the interpreter and the script. */
  readonly argv: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/**
 * Reads settings; a flag goes before an environment variable, and that before
 * the default. `--help` prints the flags and ends the process.
 *
 * @public
 */
export function readSettings<D extends SettingDefinitions>(
  definitions: D,
  sources: SettingSources,
): Result<SettingValues<D>, SettingsError> {
  const flags = parseFlags(definitions, sources);
  if (!flags.ok) {
    return flags;
  }
  const values: Record<string, unknown> = {};
  for (const [name, definition] of Object.entries(definitions)) {
    const text =
      flags.value[name] ??
      sources.environment[getEnvironmentVariable(name)] ??
      definition.defaultText;
    const value = readValue(name, definition, text);
    if (!value.ok) {
      return value;
    }
    values[name] = value.value;
  }
  return success(values as SettingValues<D>);
}

/** Describes refused settings for a person. @public */
export function describeSettingsError(error: SettingsError): string {
  switch (error.kind) {
    case 'invalidValue':
      return `${error.flag} (${error.environmentVariable}) has the invalid value "${error.value}"; allowed: ${error.allowed}`;
    case 'missingValue':
      return `${error.flag} (${error.environmentVariable}) is required; allowed: ${error.allowed}`;
    case 'unknownFlag':
      return error.message;
  }
}

/** Reads settings, or prints why they were refused and ends with exit code 2. @public */
export function readSettingsOrExit<D extends SettingDefinitions>(
  definitions: D,
  programName: string,
  argv: readonly string[] = process.argv.slice(2),
): SettingValues<D> {
  const settings = readSettings(definitions, {
    programName,
    argv,
    environment: process.env,
  });
  if (!settings.ok) {
    process.stderr.write(
      `${programName}: ${describeSettingsError(settings.error)}\n`,
    );
    process.exit(EXIT_CODE_INVALID_SETTINGS);
  }
  return settings.value;
}

function readValue(
  name: string,
  definition: SettingDefinition<unknown>,
  text: string | null,
): Result<unknown, SettingsError> {
  const flag = getFlag(name);
  const environmentVariable = getEnvironmentVariable(name);
  const {allowed} = definition;
  if (text === null) {
    return failure({kind: 'missingValue', flag, environmentVariable, allowed});
  }
  const parsed = definition.schema.safeParse(text);
  if (!parsed.success) {
    const value = definition.isSecret === true ? '(secret)' : text;
    return failure({
      kind: 'invalidValue',
      flag,
      environmentVariable,
      value,
      allowed,
    });
  }
  return success(parsed.data);
}

function parseFlags(
  definitions: SettingDefinitions,
  sources: SettingSources,
): Result<Readonly<Record<string, string | undefined>>, SettingsError> {
  let problem: string | null = null;
  const parser = yargs([...sources.argv])
    .scriptName(sources.programName)
    .parserConfiguration({
      'parse-numbers': false,
      'duplicate-arguments-array': false,
    })
    .strict()
    .version(false)
    .exitProcess(false)
    .fail((message, error) => {
      problem = message ?? error.message;
    });
  for (const [name, definition] of Object.entries(definitions)) {
    parser.option(toKebabCase(name), {
      type: 'string',
      describe: `${definition.description} (${getEnvironmentVariable(name)}; ${definition.allowed})`,
      defaultDescription: describeDefault(definition),
    });
  }
  const flags = parser.parseSync() as Record<string, string | undefined>;
  if (flags['help'] !== undefined) {
    // yargs has printed the help by now.
    process.exit(0);
  }
  if (problem !== null) {
    return failure({kind: 'unknownFlag', message: problem});
  }
  return success(flags);
}

function describeDefault(definition: SettingDefinition<unknown>): string {
  if (definition.defaultText === null) {
    return 'required';
  }
  return definition.isSecret === true ? '(secret)' : definition.defaultText;
}

function toKebabCase(camelCase: string): string {
  return camelCase.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}
