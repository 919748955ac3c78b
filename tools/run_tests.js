/**
 * Runs the tests. Failures of the tests listed in KNOWN-RED.txt do not fail the
 * run; the list is printed. Arguments are passed on to vitest.
 */
import {spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';

const COMMENT_MARK = '#';
const FIELD_SEPARATOR = ' | ';

/** Reads and prints the list; returns the full names of its tests. */
function readKnownFailures() {
  const names = new Set();
  for (const line of readFileSync('KNOWN-RED.txt', 'utf8').split('\n')) {
    if (line.trim() === '' || line.startsWith(COMMENT_MARK)) {
      continue;
    }
    names.add(line.split(FIELD_SEPARATOR)[0].trim());
    process.stdout.write(`KNOWN-RED: ${line}\n`);
  }
  return names;
}

/** Runs vitest; returns its exit status and its report, or null without one. */
function runVitest(reportFile) {
  const run = spawnSync(
    process.execPath,
    [
      path.join('node_modules', 'vitest', 'vitest.mjs'),
      'run',
      '--reporter=default',
      '--reporter=json',
      `--outputFile.json=${reportFile}`,
      ...process.argv.slice(2),
    ],
    {stdio: 'inherit'},
  );
  try {
    return {
      status: run.status,
      report: JSON.parse(readFileSync(reportFile, 'utf8')),
    };
  } catch {
    return {status: run.status, report: null};
  }
}

/** Counts the results and collects the names of the failed tests. */
function summarizeReport(report) {
  const failedNames = [];
  let passedCount = 0;
  let skippedCount = 0;
  for (const file of report.testResults) {
    if (file.status === 'failed' && file.assertionResults.length === 0) {
      failedNames.push(file.name);
    }
    for (const test of file.assertionResults) {
      if (test.status === 'failed') {
        failedNames.push(test.fullName);
      } else if (test.status === 'passed') {
        passedCount += 1;
      } else {
        skippedCount += 1;
      }
    }
  }
  return {failedNames, passedCount, skippedCount};
}

const folder = mkdtempSync(path.join(os.tmpdir(), 'filbertrun-tests-'));
const knownFailures = readKnownFailures();
const {status, report} = runVitest(path.join(folder, 'report.json'));
rmSync(folder, {recursive: true});
if (report === null) {
  process.stdout.write('vitest wrote no report\n');
  process.exit(1);
}
const {failedNames, passedCount, skippedCount} = summarizeReport(report);
const unexpected = failedNames.filter(name => !knownFailures.has(name));
const knownFailureCount = failedNames.length - unexpected.length;
process.stdout.write(`Known failures passed over: ${knownFailureCount}\n`);
process.stdout.write(
  `${passedCount} passed, ${unexpected.length} failed, ${skippedCount + knownFailureCount} skipped\n`,
);
const hasOtherError = status !== 0 && failedNames.length === 0;
process.exit(unexpected.length > 0 || hasOtherError ? 1 : 0);
