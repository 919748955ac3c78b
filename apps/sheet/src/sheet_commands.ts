import {readFile} from 'node:fs/promises';
import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {readAcceptedConfiguration} from '@filbertrun/configuration/submit_change.js';
import type {Configuration, ReadRule} from '@filbertrun/model/configuration.js';
import {
  runChange,
  type OperatorReport,
} from '@filbertrun/peer/operator_report.js';
import {
  OPERATOR_EXIT_CODES,
  type OperatorContext,
  type OperatorSettings,
} from '@filbertrun/peer/operator_settings.js';
import {describeDifference, diffRules} from '@filbertrun/sheet/diff_rules.js';
import {parseSheet} from '@filbertrun/sheet/parse_sheet.js';
import {
  describeSheetError,
  type SheetError,
} from '@filbertrun/sheet/sheet_error.js';

/**
 * The commands of filbertrun-sheet.
 *
 * @internal
 */

/** Commands with their operands and help texts. @internal */
export const SHEET_COMMANDS = {
  check: {
    description:
      'Checks a sheet against the database groups of the accepted configuration.',
    operands: '<file>',
  },
  diff: {
    description:
      'Shows the differences between a sheet and the accepted read rules.',
    operands: '<file>',
  },
  accept: {
    description: 'Checks a sheet and replaces the read rules with it.',
    operands: '<file>',
  },
} as const;

/** Name of a command. @internal */
export type SheetCommand = keyof typeof SHEET_COMMANDS;

/** Settings that the commands read. @internal */
export type SheetSettings = Pick<
  OperatorSettings,
  'changeId' | 'baseVersion' | 'wait' | 'waitTimeoutMs'
>;

interface LoadedSheet {
  readonly configuration: Configuration;
  readonly readRules: readonly ReadRule[];
}

/** Runs a command and returns its report and exit code. @internal */
export async function runSheetCommand(
  command: SheetCommand,
  file: string,
  settings: SheetSettings,
  context: OperatorContext,
): Promise<OperatorReport> {
  const loaded = await loadSheet(file, context);
  if (!loaded.ok) {
    return loaded.error;
  }
  const {configuration, readRules} = loaded.value;
  switch (command) {
    case 'check':
      return {
        exitCode: OPERATOR_EXIT_CODES.accepted,
        text: `${file}: ${readRules.length} rules, no errors`,
        json: {ok: true, rules: readRules.length},
      };
    case 'diff':
      return reportDifferences(configuration, readRules);
    case 'accept':
      return runChange(
        context.client,
        {
          changeId: settings.changeId,
          baseVersion: settings.baseVersion,
          change: {kind: 'replaceReadRules', readRules},
        },
        settings,
      );
    default:
      return exhaustiveSwitchError(command);
  }
}

async function loadSheet(
  file: string,
  context: OperatorContext,
): Promise<Result<LoadedSheet, OperatorReport>> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return failure(reportFailure(OPERATOR_EXIT_CODES.invalidSettings, reason));
  }
  const current = await readAcceptedConfiguration(context.platform);
  if (!current.ok) {
    const reason = `the platform cannot be read: ${current.error.kind}`;
    return failure(reportFailure(OPERATOR_EXIT_CODES.unavailable, reason));
  }
  const {configuration} = current.value.held;
  const groups = configuration.databaseGroups.map(group => group.databaseGroup);
  const parsed = parseSheet(text, groups);
  if (!parsed.ok) {
    return failure(reportSheetErrors(file, parsed.error));
  }
  return success({configuration, readRules: parsed.value});
}

function reportDifferences(
  configuration: Configuration,
  readRules: readonly ReadRule[],
): OperatorReport {
  const {version} = configuration;
  const differences = diffRules(configuration.readRules, readRules);
  const lines = differences.map(describeDifference);
  lines.push(`${differences.length} differences from version ${version}`);
  return {
    exitCode: OPERATOR_EXIT_CODES.accepted,
    text: lines.join('\n'),
    json: {ok: true, version, differences},
  };
}

function reportSheetErrors(
  file: string,
  errors: readonly SheetError[],
): OperatorReport {
  const messages = errors.map(describeSheetError);
  const lines = messages.map(message => `${file}: ${message}`);
  lines.push(`${file}: refused, ${errors.length} errors`);
  return {
    exitCode: OPERATOR_EXIT_CODES.refused,
    text: lines.join('\n'),
    json: {ok: false, errors, messages},
  };
}

function reportFailure(exitCode: number, message: string): OperatorReport {
  return {exitCode, text: message, json: {ok: false, message}};
}
