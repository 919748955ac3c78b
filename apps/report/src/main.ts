#!/usr/bin/env node
import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {readSettingsOrExit} from '@filbertrun/observability/settings.js';
import type {AlertLevel} from '@filbertrun/report/burn.js';
import {createBurnReport} from '@filbertrun/report/burn_report.js';
import {formatHtmlReport} from '@filbertrun/report/html_report.js';
import {formatLossHtml} from '@filbertrun/report/loss_html.js';
import {
  createLossReport,
  formatLossText,
} from '@filbertrun/report/loss_report.js';
import {formatTextReport} from '@filbertrun/report/text_report.js';
import {readLogFiles} from './log_source.js';
import {REPORT_SETTINGS} from './report_settings.js';
import {collectSnapshots} from './snapshot_source.js';

/**
 * `filbertrun-report`: prints the service-level report of a set of proxies, or
 * with `--log-files` the report on unserved statements.
 * Exit codes: 0 report printed, 1 alert at or above `--fail-on`, 2 invalid
 * settings, 3 no snapshot was read or a log file can't be read.
 */

const PROGRAM_NAME = 'filbertrun-report';

const EXIT_CODE_ALERT = 1;
const EXIT_CODE_NO_SOURCE = 3;

/** Alert levels in ascending order of urgency. */
const ALERT_ORDER: readonly AlertLevel[] = ['none', 'ticket', 'page'];

/** Expands `--json` to `--format json`. */
function expandShortFlags(argv: readonly string[]): readonly string[] {
  return argv.flatMap(argument =>
    argument === '--json' ? ['--format', 'json'] : [argument],
  );
}

function isFailing(
  alert: AlertLevel,
  failOn: 'never' | 'ticket' | 'page',
): boolean {
  if (failOn === 'never') {
    return false;
  }
  return ALERT_ORDER.indexOf(alert) >= ALERT_ORDER.indexOf(failOn);
}

/** Prints the report on unserved statements; returns the exit code. */
async function reportLosses(settings: {
  readonly logFiles: readonly string[];
  readonly html: string;
  readonly format: 'text' | 'json';
}): Promise<number> {
  const records = await readLogFiles(settings.logFiles);
  if (!records.ok) {
    process.stderr.write(`${PROGRAM_NAME}: ${records.error.reason}\n`);
    return EXIT_CODE_NO_SOURCE;
  }
  const report = createLossReport(records.value);
  if (settings.html !== '') {
    await writeFile(settings.html, formatLossHtml(report));
  }
  process.stdout.write(
    settings.format === 'json'
      ? `${JSON.stringify(report)}\n`
      : formatLossText(report),
  );
  return 0;
}

async function main(): Promise<number> {
  const settings = readSettingsOrExit(
    REPORT_SETTINGS,
    PROGRAM_NAME,
    expandShortFlags(process.argv.slice(2)),
  );
  if (settings.logFiles.length > 0) {
    return reportLosses(settings);
  }
  const {snapshots, missing} = await collectSnapshots(settings);
  for (const {source, reason} of missing) {
    process.stderr.write(
      `${PROGRAM_NAME}: no snapshot from ${source}: ${reason}\n`,
    );
  }
  if (snapshots.length === 0) {
    process.stderr.write(
      `${PROGRAM_NAME}: no snapshots; set --operator-urls or --snapshot-files\n`,
    );
    return EXIT_CODE_NO_SOURCE;
  }
  const report = createBurnReport({
    snapshots,
    missingSources: missing.map(each => each.source),
    objectives: settings.objectives,
    nowMs: Date.now(),
  });
  if (settings.html !== '') {
    await writeFile(settings.html, formatHtmlReport(report));
  }
  const output =
    settings.format === 'json'
      ? `${JSON.stringify(report)}\n`
      : formatTextReport(report);
  process.stdout.write(output);
  return isFailing(report.alert, settings.failOn) ? EXIT_CODE_ALERT : 0;
}

process.exitCode = await main();
