#!/usr/bin/env node
import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import yargs from 'yargs';
import {
  explainConfiguration,
  formatConfigurationHistory,
} from './explain_configuration.js';
import {explainPromotions} from './explain_promotion.js';
import {explainRequest, formatRequestHistory} from './explain_request.js';
import {formatPromotion} from './format_promotion.js';
import {
  parseLogLine,
  type LogRecord,
} from '@filbertrun/observability/log_record.js';

/**
 * `filbertrun-explain`: prints the event history of one request, of the changes
 * of primary of one group, or of one version of the configuration, from the logs
 * of all proxies. Exit codes: 0 history printed, 1 no record of it, 2 invalid
 * arguments, 3 a file can't be read.
 */

const PROGRAM_NAME = 'filbertrun-explain';

const EXIT_CODE_UNKNOWN = 1;
const EXIT_CODE_ARGUMENTS = 2;
const EXIT_CODE_FILE = 3;

async function readRecords(input: Readable): Promise<readonly LogRecord[]> {
  const records: LogRecord[] = [];
  for await (const line of createInterface({input})) {
    const record = parseLogLine(line);
    if (record !== null) {
      records.push(record);
    }
  }
  return records;
}

async function readAll(
  files: readonly string[],
): Promise<readonly LogRecord[]> {
  const records: LogRecord[] = [];
  const inputs =
    files.length === 0
      ? [process.stdin]
      : files.map(file => createReadStream(file));
  for (const input of inputs) {
    for (const record of await readRecords(input)) {
      records.push(record);
    }
  }
  return records;
}

/** Returns the text to print, or null if nothing is logged of the request. */
function printRequest(
  records: readonly LogRecord[],
  requestId: string,
  isJson: boolean,
): string | null {
  const history = explainRequest(records, requestId);
  if (history === null) {
    return null;
  }
  return isJson
    ? `${JSON.stringify(history)}\n`
    : formatRequestHistory(requestId, history);
}

/** Returns the text to print, or null if no change of the group is logged. */
function printPromotions(
  records: readonly LogRecord[],
  databaseGroup: string,
  isJson: boolean,
): string | null {
  const histories = explainPromotions(records, databaseGroup);
  if (histories.length === 0) {
    return null;
  }
  return isJson
    ? `${JSON.stringify(histories)}\n`
    : histories.map(formatPromotion).join('\n');
}

/** Returns the text to print, or null if no version from this one is logged. */
function printConfiguration(
  records: readonly LogRecord[],
  version: number,
  isJson: boolean,
): string | null {
  const history = explainConfiguration(records, version);
  if (history === null) {
    return null;
  }
  return isJson
    ? `${JSON.stringify(history)}\n`
    : formatConfigurationHistory(history);
}

async function main(): Promise<number> {
  const {
    _: operands,
    json,
    promotion,
    configuration,
  } = await yargs(process.argv.slice(2))
    .scriptName(PROGRAM_NAME)
    .usage(
      '$0 REQUEST_ID [FILE..]\n$0 --promotion GROUP [FILE..]\n$0 --configuration VERSION [FILE..]\n\nReads logs from files or standard input.',
    )
    .option('json', {
      type: 'boolean',
      default: false,
      describe: 'Print the event history as JSON.',
    })
    .option('promotion', {
      type: 'string',
      requiresArg: true,
      describe: 'Print the changes of primary of this database group.',
    })
    .option('configuration', {
      type: 'number',
      requiresArg: true,
      conflicts: 'promotion',
      describe: 'Print when each proxy had this version or a newer one.',
    })
    .check(({_: given, promotion: group, configuration: version}) => {
      const hasSubject = group !== undefined || version !== undefined;
      if (!hasSubject && given.length === 0) {
        throw new Error('A request id is needed.');
      }
      return true;
    })
    .strictOptions()
    .fail((message: string) => {
      process.stderr.write(`${PROGRAM_NAME}: ${message}\n`);
      process.exit(EXIT_CODE_ARGUMENTS);
    })
    .parse();
  const names = operands.map(String);
  const [requestId = ''] = names;
  let records: readonly LogRecord[];
  try {
    const isRequest = promotion === undefined && configuration === undefined;
    records = await readAll(isRequest ? names.slice(1) : names);
  } catch (error) {
    process.stderr.write(`${PROGRAM_NAME}: ${String(error)}\n`);
    return EXIT_CODE_FILE;
  }
  let text: string | null;
  let subject: string;
  if (configuration !== undefined) {
    text = printConfiguration(records, configuration, json);
    subject = `version ${configuration} of the configuration`;
  } else if (promotion !== undefined) {
    text = printPromotions(records, promotion, json);
    subject = `a change of primary of ${promotion}`;
  } else {
    text = printRequest(records, requestId, json);
    subject = `request ${requestId}`;
  }
  if (text === null) {
    process.stderr.write(
      `${PROGRAM_NAME}: no record of ${subject} among ${records.length} log records\n`,
    );
    return EXIT_CODE_UNKNOWN;
  }
  process.stdout.write(text);
  return 0;
}

process.exitCode = await main();
