#!/usr/bin/env node
import {readCommandSettingsOrExit} from '@filbertrun/observability/settings.js';
import {printReport} from '@filbertrun/peer/operator_report.js';
import {createOperatorSession} from '@filbertrun/peer/operator_settings.js';
import {runCtlCommand} from './ctl_commands.js';
import {CTL_COMMANDS, CTL_SETTINGS} from './ctl_settings.js';

/**
 * filbertrun-ctl: changes backend servers and primaries, and shows the status
 * of the deployment.
 *
 * @public
 */

const {command, settings} = readCommandSettingsOrExit(
  CTL_COMMANDS,
  CTL_SETTINGS,
  'filbertrun-ctl',
);
const session = createOperatorSession(settings);
const report = await runCtlCommand(command, settings, session);
session.dispose();
printReport(report, settings.json);
process.exitCode = report.exitCode;
