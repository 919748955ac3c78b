import {
  BIND_COMPLETE,
  buildCommandComplete,
  buildTextDataRow,
  buildTextRowDescription,
  CLOSE_COMPLETE,
  NO_DATA,
  NO_PARAMETERS,
  PARSE_COMPLETE,
} from '@filbertrun/wire/backend_message_builder.js';
import type {CallerOutput} from '../caller/caller_output.js';
import type {BatchMessage} from './message_batch.js';

/** Result of a statement that the proxy runs itself. @public */
export interface LocalAnswer {
  /** Column name and value of the only row, or null when there are no rows. */
  readonly row: {readonly column: string; readonly value: string} | null;
  /** Tag of CommandComplete, such as `SET`. */
  readonly tag: string;
}

/** Writes the response to a Query message, without ReadyForQuery. @public */
export function writeSimpleAnswer(
  output: CallerOutput,
  answer: LocalAnswer,
): void {
  if (answer.row !== null) {
    output.write(buildTextRowDescription([answer.row.column]));
  }
  writeExecuteAnswer(output, answer);
}

/** Writes the responses to a batch, without ReadyForQuery. @public */
export function writeBatchAnswer(
  output: CallerOutput,
  messages: readonly BatchMessage[],
  answer: LocalAnswer,
): void {
  for (const message of messages) {
    switch (message.kind) {
      case 'parse':
        output.write(PARSE_COMPLETE);
        break;
      case 'bind':
        output.write(BIND_COMPLETE);
        break;
      case 'describeStatement':
        output.write(NO_PARAMETERS);
        output.write(createDescription(answer));
        break;
      case 'describePortal':
        output.write(createDescription(answer));
        break;
      case 'execute':
        writeExecuteAnswer(output, answer);
        break;
      case 'closeStatement':
      case 'closePortal':
        output.write(CLOSE_COMPLETE);
        break;
      case 'sync':
        break;
    }
  }
}

function createDescription(answer: LocalAnswer): Buffer {
  return answer.row === null
    ? NO_DATA
    : buildTextRowDescription([answer.row.column]);
}

function writeExecuteAnswer(output: CallerOutput, answer: LocalAnswer): void {
  if (answer.row !== null) {
    output.write(buildTextDataRow([answer.row.value]));
  }
  output.write(buildCommandComplete(answer.tag));
}
