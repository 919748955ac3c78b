import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {
  parseLogLine,
  type LogRecord,
} from '@filbertrun/observability/log_record.js';

/** A log file that could not be read. @public */
export interface LogSourceError {
  readonly kind: 'unreadable';
  readonly reason: string;
}

/** Reads the records of all files; skips lines that are not records. @public */
export async function readLogFiles(
  files: readonly string[],
): Promise<Result<readonly LogRecord[], LogSourceError>> {
  const records: LogRecord[] = [];
  for (const file of files) {
    try {
      for await (const line of createInterface({
        input: createReadStream(file),
      })) {
        const record = parseLogLine(line);
        if (record !== null) {
          records.push(record);
        }
      }
    } catch (error) {
      return failure({kind: 'unreadable', reason: `${file}: ${String(error)}`});
    }
  }
  return success(records);
}
