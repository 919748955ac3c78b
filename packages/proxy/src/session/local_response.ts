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
export interface LocalResponse {
  /** Column name and value of the only row, or null when there are no rows. */
  readonly row: {readonly column: string; readonly value: string} | null;
  /** Tag of CommandComplete, such as `SET`. */
  readonly tag: string;
}

/** Writes the response to a Query message, without ReadyForQuery. @public */
export function writeSimpleResponse(
  output: CallerOutput,
  response: LocalResponse,
): void {
  if (response.row !== null) {
    output.write(buildTextRowDescription([response.row.column]));
  }
  writeExecuteResponse(output, response);
}

/** Writes the responses to a batch, without ReadyForQuery. @public */
export function writeBatchResponse(
  output: CallerOutput,
  messages: readonly BatchMessage[],
  response: LocalResponse,
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
        output.write(createDescription(response));
        break;
      case 'describePortal':
        output.write(createDescription(response));
        break;
      case 'execute':
        writeExecuteResponse(output, response);
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

function createDescription(response: LocalResponse): Buffer {
  return response.row === null
    ? NO_DATA
    : buildTextRowDescription([response.row.column]);
}

function writeExecuteResponse(
  output: CallerOutput,
  response: LocalResponse,
): void {
  if (response.row !== null) {
    output.write(buildTextDataRow([response.row.value]));
  }
  output.write(buildCommandComplete(response.tag));
}
