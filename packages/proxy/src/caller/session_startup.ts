import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import {parseStartupOptions} from '@filbertrun/wire/startup_options.js';
import {CallerSession} from '../session/caller_session.js';
import type {SessionServices} from '../session/session_services.js';
import {SessionState} from '../session/session_state.js';
import type {CallerOutput} from './caller_output.js';

/** Startup parameters that are not run-time parameters. */
const CONNECTION_PARAMETERS: ReadonlySet<string> = new Set([
  'user',
  'database',
  'options',
  'replication',
]);

/** Names of UTF-8 that are accepted as `client_encoding`. */
const UTF8_ENCODINGS: ReadonlySet<string> = new Set([
  'utf8',
  'utf-8',
  'unicode',
]);

/** Parameters that a PostgreSQL server reports, with their default values. */
const DEFAULT_REPORTED_PARAMETERS: ReadonlyMap<string, string> = new Map([
  ['server_version', '16.0'],
  ['server_encoding', 'UTF8'],
  ['client_encoding', 'UTF8'],
  ['DateStyle', 'ISO, MDY'],
  ['IntervalStyle', 'postgres'],
  ['TimeZone', 'UTC'],
  ['integer_datetimes', 'on'],
  ['standard_conforming_strings', 'on'],
  ['is_superuser', 'off'],
  ['default_transaction_read_only', 'off'],
  ['in_hot_standby', 'off'],
]);

/** Dependencies of a new session. @internal */
export interface SessionStartupOptions {
  readonly services: SessionServices;
  readonly output: CallerOutput;
  readonly endConnection: () => void;
}

/** A session and the parameter values to report to its caller. @internal */
export interface StartedSession {
  readonly session: CallerSession;
  readonly reportedParameters: ReadonlyMap<string, string>;
}

/**
 * Creates a session from the parameters of a startup message. The database name
 * selects the database group.
 *
 * @internal
 */
export function createSession(
  parameters: ReadonlyMap<string, string>,
  options: SessionStartupOptions,
): Result<StartedSession, CallerError> {
  const user = parameters.get('user') ?? '';
  const databaseGroup = parameters.get('database') ?? user;
  if (options.services.getGroup(databaseGroup) === null) {
    return failure({kind: 'unknownDatabase', databaseGroup});
  }
  if (parameters.has('replication')) {
    return failure({kind: 'notSupported', feature: 'replication connections'});
  }
  const {clock} = options.services;
  const state = SessionState.create(databaseGroup, clock);
  const session = CallerSession.create({...options, state});
  const error = applyParameters(session, parameters);
  if (error !== null) {
    return failure(error);
  }
  const reportedParameters = new Map(DEFAULT_REPORTED_PARAMETERS);
  reportedParameters.set('session_authorization', user);
  reportedParameters.set('application_name', state.application);
  for (const [name, value] of state.parameters) {
    reportIfKnown(reportedParameters, name, value);
  }
  return success({session, reportedParameters});
}

function applyParameters(
  session: CallerSession,
  parameters: ReadonlyMap<string, string>,
): CallerError | null {
  const requested: (readonly [string, string])[] = [];
  for (const [name, value] of parameters) {
    if (!CONNECTION_PARAMETERS.has(name)) {
      requested.push([name.toLowerCase(), value]);
    }
  }
  const options = parseStartupOptions(parameters.get('options') ?? '');
  if (!options.ok) {
    const reason = `"${options.error.option}" in options is malformed`;
    return {kind: 'invalidParameter', reason};
  }
  for (const [name, value] of options.value) {
    requested.push([name.toLowerCase(), value]);
  }
  for (const [name, value] of requested) {
    const error = applyParameter(session, name, value);
    if (error !== null) {
      return error;
    }
  }
  return null;
}

function applyParameter(
  session: CallerSession,
  name: string,
  value: string,
): CallerError | null {
  if (name === 'client_encoding') {
    return UTF8_ENCODINGS.has(value.toLowerCase().replaceAll("'", ''))
      ? null
      : {kind: 'notSupported', feature: 'a client_encoding other than UTF8'};
  }
  return session.setStartupParameter(name, value);
}

/** Replaces a reported value, keeping the server's spelling of the name. */
function reportIfKnown(
  reported: Map<string, string>,
  name: string,
  value: string,
): void {
  for (const known of reported.keys()) {
    if (known.toLowerCase() === name) {
      reported.set(known, value);
      return;
    }
  }
}
