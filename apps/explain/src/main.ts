#!/usr/bin/env node
import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import yargs from 'yargs';
import {explainRequest, formatRequestHistory} from './explain_request.js';
import {
  parseLogLine,
  type LogRecord,
} from '@filbertrun/observability/log_record.js';

/**
 * `filbertrun-explain`: prints the event history of one request from the logs
 * of all proxies. Exit codes: 0 history printed, 1 no record of the request,
 * 2 invalid arguments, 3 a file can't be read.
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

async function main(): Promise<number> {
  const {_: operands, json} = await yargs(process.argv.slice(2))
    .scriptName(PROGRAM_NAME)
    .usage('$0 REQUEST_ID [FILE..]\n\nReads logs from files or standard input.')
    .option('json', {
      type: 'boolean',
      default: false,
      describe: 'Print the event history as JSON.',
    })
    .demandCommand(1, 'A request id is needed.')
    .strictOptions()
    .fail((message: string) => {
      process.stderr.write(`${PROGRAM_NAME}: ${message}\n`);
      process.exit(EXIT_CODE_ARGUMENTS);
    })
    .parse();
  const [requestId = '', ...files] = operands.map(String);
  const records: LogRecord[] = [];
  try {
    const inputs =
      files.length === 0
        ? [process.stdin]
        : files.map(file => createReadStream(file));
    for (const input of inputs) {
      records.push(...(await readRecords(input)));
    }
  } catch (error) {
    process.stderr.write(`${PROGRAM_NAME}: ${String(error)}\n`);
    return EXIT_CODE_FILE;
  }
  const history = explainRequest(records, requestId);
  if (history === null) {
    process.stderr.write(
      `${PROGRAM_NAME}: no record of request ${requestId} among ${records.length} log records\n`,
    );
    return EXIT_CODE_UNKNOWN;
  }
  process.stdout.write(
    json
      ? `${JSON.stringify(history)}\n`
      : formatRequestHistory(requestId, history),
  );
  return 0;
}

process.exitCode = await main();
