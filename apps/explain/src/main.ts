#!/usr/bin/env node
import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import yargs from 'yargs';
import {explainPromotions} from './explain_promotion.js';
import {explainRequest, formatRequestHistory} from './explain_request.js';
import {formatPromotion} from './format_promotion.js';
import {
  parseLogLine,
  type LogRecord,
} from '@filbertrun/observability/log_record.js';

/**
 * `filbertrun-explain`: prints the event history of one request, or of the
 * changes of primary of one group, from the logs of all proxies. Exit codes:
 * 0 history printed, 1 no record of it, 2 invalid arguments, 3 a file can't be
 * read.
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

async function main(): Promise<number> {
  const {
    _: operands,
    json,
    promotion,
  } = await yargs(process.argv.slice(2))
    .scriptName(PROGRAM_NAME)
    .usage(
      '$0 REQUEST_ID [FILE..]\n$0 --promotion GROUP [FILE..]\n\nReads logs from files or standard input.',
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
    .check(({_: given, promotion: group}) => {
      if (group === undefined && given.length === 0) {
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
    records = await readAll(promotion === undefined ? names.slice(1) : names);
  } catch (error) {
    process.stderr.write(`${PROGRAM_NAME}: ${String(error)}\n`);
    return EXIT_CODE_FILE;
  }
  const text =
    promotion === undefined
      ? printRequest(records, requestId, json)
      : printPromotions(records, promotion, json);
  if (text === null) {
    const subject =
      promotion === undefined
        ? `request ${requestId}`
        : `a change of primary of ${promotion}`;
    process.stderr.write(
      `${PROGRAM_NAME}: no record of ${subject} among ${records.length} log records\n`,
    );
    return EXIT_CODE_UNKNOWN;
  }
  process.stdout.write(text);
  return 0;
}

process.exitCode = await main();
