import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {SessionTokenCodec} from '@filbertrun/session/session_token_codec.js';
import {describeTokenError} from '@filbertrun/session/token_error.js';
import {MAX_REQUEST_KEY_LENGTH} from '@filbertrun/sql/request_key_comment.js';
import type {StatementClass} from '@filbertrun/sql/statement_class.js';
import {SESSION_TOKEN_PARAMETER} from '../execution/acknowledgement.js';
import type {LocalResponse} from './local_response.js';
import type {PreparedStatements} from './prepared_statements.js';
import {NO_PARAMETERS} from './session_parameters.js';
import type {SessionState} from './session_state.js';

/** Prefix of the run-time parameters that only the proxy knows. */
const PROXY_PARAMETER_PREFIX = 'filbertrun.';

/** Parameter that sets the idempotency key of the next write. */
const REQUEST_KEY_PARAMETER = 'filbertrun.request_key';
const APPLICATION_NAME_PARAMETER = 'application_name';

/**
 * Runs statements on session state that the proxy keeps: its own run-time
 * parameters and the prepared statements.
 *
 * @public
 */
export class LocalStatements {
  private constructor(
    private readonly codec: SessionTokenCodec,
    private readonly session: SessionState,
    private readonly prepared: PreparedStatements,
  ) {}

  static create(
    codec: SessionTokenCodec,
    session: SessionState,
    prepared: PreparedStatements,
  ): LocalStatements {
    return new LocalStatements(codec, session, prepared);
  }

  /** Runs a statement; null when a backend server must run it. */
  run(statement: StatementClass): Result<LocalResponse, CallerError> | null {
    switch (statement.kind) {
      case 'set':
        return isProxyParameter(statement.parameter)
          ? this.set(statement.parameter, statement.value)
          : null;
      case 'reset':
        return this.reset(statement.parameter);
      case 'show':
        return isProxyParameter(statement.parameter)
          ? this.show(statement.parameter)
          : null;
      case 'discard':
        return this.discard();
      case 'deallocate':
        return this.deallocate(statement.name);
      default:
        return null;
    }
  }

  /** Sets a proxy parameter; null resets it to its default. */
  set(
    parameter: string,
    value: string | null,
  ): Result<LocalResponse, CallerError> {
    switch (parameter) {
      case SESSION_TOKEN_PARAMETER:
        return this.mergeToken(value ?? '');
      case REQUEST_KEY_PARAMETER:
        return this.setRequestKey(value);
      case APPLICATION_NAME_PARAMETER:
        this.session.application = value ?? '';
        return success(createResponse('SET'));
      default:
        return failure({
          kind: 'invalidParameter',
          reason: `"${parameter}" is unknown`,
        });
    }
  }

  /**
   * Raises the floors to those of a token. An empty token, as set by RESET,
   * changes nothing, because floors are never lowered.
   */
  private mergeToken(token: string): Result<LocalResponse, CallerError> {
    if (token === '') {
      return success(createResponse('SET'));
    }
    const floors = this.codec.decode(token);
    if (!floors.ok) {
      return failure({
        kind: 'invalidToken',
        reason: describeTokenError(floors.error),
      });
    }
    this.session.mergeFloors(floors.value);
    return success(createResponse('SET'));
  }

  private setRequestKey(
    value: string | null,
  ): Result<LocalResponse, CallerError> {
    if (value !== null && value.length > MAX_REQUEST_KEY_LENGTH) {
      return failure({
        kind: 'invalidParameter',
        reason: `a request key has at most ${MAX_REQUEST_KEY_LENGTH} characters`,
      });
    }
    this.session.requestKey = value === '' ? null : value;
    return success(createResponse('SET'));
  }

  private reset(
    parameter: string | null,
  ): Result<LocalResponse, CallerError> | null {
    if (parameter === null) {
      this.session.parameters = NO_PARAMETERS;
      this.session.requestKey = null;
      return success(createResponse('RESET'));
    }
    if (!isProxyParameter(parameter)) {
      return null;
    }
    const reset = this.set(parameter, null);
    return reset.ok ? success(createResponse('RESET')) : reset;
  }

  private show(parameter: string): Result<LocalResponse, CallerError> {
    const value = this.getValue(parameter);
    return value === null
      ? failure({
          kind: 'invalidParameter',
          reason: `"${parameter}" is unknown`,
        })
      : success({row: {column: parameter, value}, tag: 'SHOW'});
  }

  private getValue(parameter: string): string | null {
    switch (parameter) {
      case SESSION_TOKEN_PARAMETER: {
        const token = this.codec.encode(this.session.getFloors());
        return token.ok ? token.value : '';
      }
      case REQUEST_KEY_PARAMETER:
        return this.session.requestKey ?? '';
      case APPLICATION_NAME_PARAMETER:
        return this.session.application;
      default:
        return null;
    }
  }

  private discard(): Result<LocalResponse, CallerError> {
    this.session.parameters = NO_PARAMETERS;
    this.session.requestKey = null;
    this.prepared.clear();
    return success(createResponse('DISCARD ALL'));
  }

  private deallocate(name: string | null): Result<LocalResponse, CallerError> {
    if (name === null) {
      this.prepared.clear();
      return success(createResponse('DEALLOCATE ALL'));
    }
    if (this.prepared.get(name) === null) {
      return failure({kind: 'unknownStatement', name});
    }
    this.prepared.delete(name);
    return success(createResponse('DEALLOCATE'));
  }
}

/** Whether only the proxy handles a parameter, not backend servers. @public */
export function isProxyParameter(parameter: string): boolean {
  return (
    parameter.startsWith(PROXY_PARAMETER_PREFIX) ||
    parameter === APPLICATION_NAME_PARAMETER
  );
}

function createResponse(tag: string): LocalResponse {
  return {row: null, tag};
}
