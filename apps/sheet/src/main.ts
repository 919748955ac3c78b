#!/usr/bin/env node
import {readCommandSettingsOrExit} from '@filbertrun/observability/settings.js';
import {printReport} from '@filbertrun/peer/operator_report.js';
import {
  createOperatorSession,
  OPERATOR_SETTINGS,
} from '@filbertrun/peer/operator_settings.js';
import {runSheetCommand, SHEET_COMMANDS} from './sheet_commands.js';

/**
 * filbertrun-sheet: checks and accepts the planners' sheet, a CSV file of read
 * rules, and compares it with the accepted configuration.
 *
 * @public
 */

const {command, settings} = readCommandSettingsOrExit(
  SHEET_COMMANDS,
  OPERATOR_SETTINGS,
  'filbertrun-sheet',
);
const session = createOperatorSession(settings);
const report = await runSheetCommand(
  command.name,
  command.operands[0] ?? '',
  settings,
  session,
);
session.dispose();
printReport(report, settings.json);
process.exitCode = report.exitCode;
