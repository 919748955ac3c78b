import {failure, success, type Result} from '@filbertrun/base/result.js';
import yargs from 'yargs';
import type {z} from 'zod';

/**
 * Settings of a program. A single definition of each setting specifies its
 * command-line flag, environment variable, default and validation.
 */

/** Prefix of every environment variable. */
const ENVIRONMENT_PREFIX = 'FILBERTRUN_';

/** The definition of one setting. @public */
export interface SettingDefinition<T> {
  /** What the setting does; shown by `--help` and in the settings table. */
  readonly description: string;
  /** Description of the allowed values, for error messages and `--help`. */
  readonly allowed: string;
  /** Default value as text; null makes the setting required. */
  readonly defaultText: string | null;
  /** Parses and validates the text. */
  readonly schema: z.ZodType<T>;
  /** Whether the value must not appear in logs or `--help`. */
  readonly isSecret?: boolean;
  /** Whether the flag takes no value; its text is then `true` or `false`. */
  readonly isBooleanFlag?: boolean;
}

/** A command of a program and its operands. @public */
export interface CommandDefinition {
  readonly description: string;
  /** Operands in yargs syntax: `<name>`, `[name]` or `<name..>`. */
  readonly operands: string;
}

/** Commands by name. @public */
export type CommandDefinitions = Readonly<Record<string, CommandDefinition>>;

/** The command that was parsed from the command line. @public */
export interface ParsedCommand<C extends CommandDefinitions> {
  readonly name: keyof C & string;
  readonly operands: readonly string[];
}

/** A command and the settings for it. @public */
export interface CommandSettings<
  C extends CommandDefinitions,
  D extends SettingDefinitions,
> {
  readonly command: ParsedCommand<C>;
  readonly settings: SettingValues<D>;
}

/** Definitions by setting name in camel case. @public */
export type SettingDefinitions = Readonly<
  Record<string, SettingDefinition<unknown>>
>;

/** Parsed values of a set of definitions. @public */
export type SettingValues<D extends SettingDefinitions> = {
  readonly [K in keyof D]: D[K] extends SettingDefinition<infer T> ? T : never;
};

/** Reason why the settings are invalid. @public */
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

/** Exit code for invalid settings. @public */
export const EXIT_CODE_INVALID_SETTINGS = 2;

/** Flag of a setting: `listenPort` becomes `--listen-port`. @public */
export function getFlag(settingName: string): string {
  return `--${toKebabCase(settingName)}`;
}

/**
 * Environment variable of a setting: `listenPort` becomes
 * `FILBERTRUN_LISTEN_PORT`.
 *
 * @public
 */
export function getEnvironmentVariable(settingName: string): string {
  const name = toKebabCase(settingName).replaceAll('-', '_').toUpperCase();
  return `${ENVIRONMENT_PREFIX}${name}`;
}

/** Sources of setting values. @public */
export interface SettingSources {
  readonly programName: string;
  /** Command-line arguments, excluding the interpreter and the script. */
  readonly argv: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/**
 * Reads settings. A flag takes precedence over the environment variable, which
 * takes precedence over the default. `--help` prints the flags and exits.
 *
 * @public
 */
export function readSettings<D extends SettingDefinitions>(
  definitions: D,
  sources: SettingSources,
): Result<SettingValues<D>, SettingsError> {
  const parsed = parseArguments(definitions, {}, sources);
  return parsed.ok
    ? resolveValues(definitions, parsed.value.flags, sources)
    : parsed;
}

/**
 * Reads a command, its operands and the settings.
 *
 * @public
 */
export function readCommandSettings<
  C extends CommandDefinitions,
  D extends SettingDefinitions,
>(
  commands: C,
  definitions: D,
  sources: SettingSources,
): Result<CommandSettings<C, D>, SettingsError> {
  const parsed = parseArguments(definitions, commands, sources);
  if (!parsed.ok) {
    return parsed;
  }
  const settings = resolveValues(definitions, parsed.value.flags, sources);
  if (!settings.ok) {
    return settings;
  }
  const {command, operands} = parsed.value;
  return success({
    command: {name: command as keyof C & string, operands},
    settings: settings.value,
  });
}

/** Reads a command, or prints the error and exits with code 2. @public */
export function readCommandSettingsOrExit<
  C extends CommandDefinitions,
  D extends SettingDefinitions,
>(
  commands: C,
  definitions: D,
  programName: string,
  argv: readonly string[] = process.argv.slice(2),
): CommandSettings<C, D> {
  const sources = {programName, argv, environment: process.env};
  const result = readCommandSettings(commands, definitions, sources);
  return result.ok ? result.value : exitWithError(programName, result.error);
}

function resolveValues<D extends SettingDefinitions>(
  definitions: D,
  flags: Readonly<Record<string, string | undefined>>,
  sources: SettingSources,
): Result<SettingValues<D>, SettingsError> {
  const values: Record<string, unknown> = {};
  for (const [name, definition] of Object.entries(definitions)) {
    const text =
      flags[name] ??
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

/** Formats a settings error as a message for the user. @public */
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

/** Reads settings, or prints the error and exits with code 2. @public */
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
  return settings.ok
    ? settings.value
    : exitWithError(programName, settings.error);
}

function exitWithError(programName: string, error: SettingsError): never {
  process.stderr.write(`${programName}: ${describeSettingsError(error)}\n`);
  process.exit(EXIT_CODE_INVALID_SETTINGS);
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

interface ParsedArguments {
  /** Text of each flag on the command line, by setting name. */
  readonly flags: Readonly<Record<string, string | undefined>>;
  readonly command: string;
  readonly operands: readonly string[];
}

function parseArguments(
  definitions: SettingDefinitions,
  commands: CommandDefinitions,
  sources: SettingSources,
): Result<ParsedArguments, SettingsError> {
  let parseError: string | null = null;
  const parser = yargs([...sources.argv])
    .scriptName(sources.programName)
    .parserConfiguration({
      'parse-numbers': false,
      'parse-positional-numbers': false,
    })
    .strict()
    .version(false)
    .exitProcess(false)
    .fail((message, error) => {
      parseError = message ?? error.message;
    });
  for (const [name, definition] of Object.entries(definitions)) {
    parser.option(toKebabCase(name), {
      type: definition.isBooleanFlag === true ? 'boolean' : 'string',
      describe: `${definition.description} (${getEnvironmentVariable(name)}; ${definition.allowed})`,
      defaultDescription: describeDefault(definition),
    });
  }
  for (const [name, {operands, description}] of Object.entries(commands)) {
    parser.command(`${name} ${operands}`.trim(), description);
  }
  if (Object.keys(commands).length > 0) {
    parser.demandCommand(1, 1, 'A command is required; see --help.');
  }
  const yargsValues: Readonly<Record<string, unknown>> = parser.parseSync();
  if (yargsValues['help'] !== undefined) {
    // yargs has already printed the help.
    process.exit(0);
  }
  if (parseError !== null) {
    return failure({kind: 'unknownFlag', message: parseError});
  }
  return success(collectArguments(definitions, commands, yargsValues));
}

function collectArguments(
  definitions: SettingDefinitions,
  commands: CommandDefinitions,
  yargsValues: Readonly<Record<string, unknown>>,
): ParsedArguments {
  const flags: Record<string, string | undefined> = {};
  for (const name of Object.keys(definitions)) {
    // If a flag is repeated, the last one wins.
    const value = [yargsValues[name]].flat().at(-1);
    flags[name] = value === undefined ? undefined : String(value);
  }
  const command = String((yargsValues['_'] as readonly unknown[])[0] ?? '');
  return {
    flags,
    command,
    operands: collectOperands(commands[command], yargsValues),
  };
}

const OPERAND_PATTERN = /[A-Za-z-]+/g;

function collectOperands(
  definition: CommandDefinition | undefined,
  yargsValues: Readonly<Record<string, unknown>>,
): readonly string[] {
  const names = definition?.operands.match(OPERAND_PATTERN) ?? [];
  const operands: string[] = [];
  for (const name of names) {
    const value = yargsValues[name];
    if (value !== undefined) {
      operands.push(...[value].flat().map(String));
    }
  }
  return operands;
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
