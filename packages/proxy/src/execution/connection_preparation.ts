import {failure, success, type Result} from '@filbertrun/base/result.js';
import {
  readErrorResponse,
  type BackendErrorFields,
} from '@filbertrun/wire/backend_message_reader.js';
import {BackendMessage} from '@filbertrun/wire/protocol_constants.js';
import {serialize} from 'pg-protocol';
import type {BackendConnection} from '../backend/backend_connection.js';
import type {ExchangeHandler} from '../backend/exchange_handler.js';
import {
  createParameterChangeSql,
  type ParameterValues,
} from '../session/session_parameters.js';

/**
 * Sets the run-time parameters of a session on a connection. The statement
 * itself is sent only after this has succeeded.
 *
 * @public
 */
export async function applyParameters(
  connection: BackendConnection,
  parameters: ParameterValues,
): Promise<Result<void, BackendErrorFields | null>> {
  const change = createParameterChangeSql(
    connection.appliedParameters,
    parameters,
  );
  if (change === null) {
    connection.appliedParameters = parameters;
    return success(undefined);
  }
  const result = await runInternalQuery(connection, change);
  if (!result.ok) {
    connection.markDirty();
    return result;
  }
  connection.appliedParameters = parameters;
  return result;
}

/**
 * Runs a simple query whose response is not relayed to a caller. The error is
 * null if the connection was lost.
 *
 * @public
 */
export function runInternalQuery(
  connection: BackendConnection,
  sql: string,
): Promise<Result<void, BackendErrorFields | null>> {
  return new Promise(resolve => {
    let error: BackendErrorFields | null = null;
    const handler: ExchangeHandler = {
      handleFrame: (type, buffer, start, end) => {
        if (type === BackendMessage.errorResponse) {
          error ??= readErrorResponse(buffer, start, end);
        }
      },
      handlePosition: () => {},
      handleChunkEnd: () => {},
      handleReady: () =>
        resolve(error === null ? success(undefined) : failure(error)),
      handleLost: () => resolve(failure(null)),
    };
    connection.start([serialize.query(sql)], handler);
  });
}
