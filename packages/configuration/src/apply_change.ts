import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {
  BackendServer,
  Configuration,
  DatabaseGroup,
  ReadRule,
} from '@filbertrun/model/configuration.js';
import type {ConfigurationChange} from './configuration_change.js';

/**
 * Applies changes to a configuration. This is deterministic: the same change of
 * the same configuration always has the same result.
 *
 * @public
 */

/** Why a change can't be applied to a configuration. @public */
export type ApplyError =
  | {readonly kind: 'unknownBackendServer'; readonly backendServer: string}
  | {readonly kind: 'unknownDatabaseGroup'; readonly databaseGroup: string}
  | {readonly kind: 'duplicateBackendServer'; readonly backendServer: string}
  | {readonly kind: 'duplicateDatabaseGroup'; readonly databaseGroup: string}
  | {readonly kind: 'duplicateReadRule'; readonly rule: string}
  | {readonly kind: 'notDraining'; readonly backendServer: string}
  | {readonly kind: 'lastActiveBackendServer'; readonly backendServer: string};

/** Describes for an operator why a change was rejected. @public */
export function describeApplyError(error: ApplyError): string {
  switch (error.kind) {
    case 'unknownBackendServer':
      return `backend server "${error.backendServer}" does not exist`;
    case 'unknownDatabaseGroup':
      return `database group "${error.databaseGroup}" does not exist`;
    case 'duplicateBackendServer':
      return `backend server "${error.backendServer}" exists already`;
    case 'duplicateDatabaseGroup':
      return `database group "${error.databaseGroup}" is listed twice`;
    case 'duplicateReadRule':
      return `the rule for ${error.rule} is listed twice`;
    case 'notDraining':
      return `backend server "${error.backendServer}" must be drained before it is removed`;
    case 'lastActiveBackendServer':
      return `backend server "${error.backendServer}" is the last active one of its database group`;
    default:
      return exhaustiveSwitchError(error);
  }
}

/**
 * Returns the next version, or the same object if the change has no effect.
 *
 * @public
 */
export function applyChange(
  configuration: Configuration,
  change: ConfigurationChange,
): Result<Configuration, ApplyError> {
  switch (change.kind) {
    case 'replaceReadRules':
      return replaceReadRules(configuration, change.readRules);
    case 'replaceDatabaseGroups':
      return replaceDatabaseGroups(configuration, change.databaseGroups);
    case 'addBackendServer':
      return addBackendServer(
        configuration,
        change.databaseGroup,
        change.server,
      );
    case 'removeBackendServer':
      return removeBackendServer(configuration, change.backendServer);
    case 'drainBackendServer':
      return drainBackendServer(configuration, change.backendServer);
    case 'undrainBackendServer':
      return updateServer(configuration, change.backendServer, server => ({
        ...server,
        state: 'active',
      }));
    case 'shiftLoad':
      return shiftLoad(configuration, change.weights);
    default:
      return exhaustiveSwitchError(change);
  }
}

function replaceReadRules(
  configuration: Configuration,
  readRules: readonly ReadRule[],
): Result<Configuration, ApplyError> {
  const problem = findRuleProblem(readRules, configuration.databaseGroups);
  if (problem !== null) {
    return failure(problem);
  }
  return success(createNextVersion(configuration, {readRules}));
}

function replaceDatabaseGroups(
  configuration: Configuration,
  databaseGroups: readonly DatabaseGroup[],
): Result<Configuration, ApplyError> {
  const problem =
    findGroupProblem(databaseGroups) ??
    findRuleProblem(configuration.readRules, databaseGroups);
  if (problem !== null) {
    return failure(problem);
  }
  return success(createNextVersion(configuration, {databaseGroups}));
}

function addBackendServer(
  configuration: Configuration,
  groupName: string,
  server: BackendServer,
): Result<Configuration, ApplyError> {
  const existing = findServer(configuration, server.backendServer);
  if (existing !== null) {
    const isSame = JSON.stringify(existing) === JSON.stringify(server);
    const {backendServer} = server;
    return isSame
      ? success(configuration)
      : failure({kind: 'duplicateBackendServer', backendServer});
  }
  const isKnownGroup = configuration.databaseGroups.some(
    group => group.databaseGroup === groupName,
  );
  const added: DatabaseGroup = {
    databaseGroup: groupName,
    backendServers: [server],
  };
  const databaseGroups = isKnownGroup
    ? configuration.databaseGroups.map(group =>
        group.databaseGroup === groupName
          ? {...group, backendServers: [...group.backendServers, server]}
          : group,
      )
    : [...configuration.databaseGroups, added];
  return success(createNextVersion(configuration, {databaseGroups}));
}

function removeBackendServer(
  configuration: Configuration,
  backendServer: string,
): Result<Configuration, ApplyError> {
  const server = findServer(configuration, backendServer);
  if (server === null) {
    return failure({kind: 'unknownBackendServer', backendServer});
  }
  if (server.state === 'active') {
    return failure({kind: 'notDraining', backendServer});
  }
  const databaseGroups = configuration.databaseGroups.map(group => ({
    ...group,
    backendServers: group.backendServers.filter(
      candidate => candidate.backendServer !== backendServer,
    ),
  }));
  return success(createNextVersion(configuration, {databaseGroups}));
}

function drainBackendServer(
  configuration: Configuration,
  backendServer: string,
): Result<Configuration, ApplyError> {
  for (const group of configuration.databaseGroups) {
    const hasOther = group.backendServers.some(
      server =>
        server.backendServer !== backendServer && server.state === 'active',
    );
    const isMember = group.backendServers.some(
      server => server.backendServer === backendServer,
    );
    if (isMember && !hasOther) {
      return failure({kind: 'lastActiveBackendServer', backendServer});
    }
  }
  return updateServer(configuration, backendServer, server => ({
    ...server,
    state: 'draining',
  }));
}

function shiftLoad(
  configuration: Configuration,
  weights: readonly {readonly backendServer: string; readonly weight: number}[],
): Result<Configuration, ApplyError> {
  let next = configuration;
  for (const {backendServer, weight} of weights) {
    const updated = updateServer(next, backendServer, server => ({
      ...server,
      weight,
    }));
    if (!updated.ok) {
      return updated;
    }
    next = updated.value;
  }
  if (next === configuration) {
    return success(configuration);
  }
  // Each updated server has incremented the version, but this is one change.
  return success({...next, version: configuration.version + 1});
}

function updateServer(
  configuration: Configuration,
  backendServer: string,
  update: (server: BackendServer) => BackendServer,
): Result<Configuration, ApplyError> {
  const server = findServer(configuration, backendServer);
  if (server === null) {
    return failure({kind: 'unknownBackendServer', backendServer});
  }
  const updated = update(server);
  if (updated.state === server.state && updated.weight === server.weight) {
    return success(configuration);
  }
  const databaseGroups = configuration.databaseGroups.map(group =>
    group.backendServers.includes(server)
      ? {
          ...group,
          backendServers: group.backendServers.map(candidate =>
            candidate === server ? updated : candidate,
          ),
        }
      : group,
  );
  return success(createNextVersion(configuration, {databaseGroups}));
}

function createNextVersion(
  configuration: Configuration,
  parts: Partial<Pick<Configuration, 'databaseGroups' | 'readRules'>>,
): Configuration {
  const next = {...configuration, ...parts};
  const isSame =
    JSON.stringify([next.databaseGroups, next.readRules]) ===
    JSON.stringify([configuration.databaseGroups, configuration.readRules]);
  return isSame ? configuration : {...next, version: configuration.version + 1};
}

function findServer(
  configuration: Configuration,
  backendServer: string,
): BackendServer | null {
  for (const group of configuration.databaseGroups) {
    for (const server of group.backendServers) {
      if (server.backendServer === backendServer) {
        return server;
      }
    }
  }
  return null;
}

function findGroupProblem(
  databaseGroups: readonly DatabaseGroup[],
): ApplyError | null {
  const groups = new Set<string>();
  const servers = new Set<string>();
  for (const {databaseGroup, backendServers} of databaseGroups) {
    if (groups.has(databaseGroup)) {
      return {kind: 'duplicateDatabaseGroup', databaseGroup};
    }
    groups.add(databaseGroup);
    for (const {backendServer} of backendServers) {
      if (servers.has(backendServer)) {
        return {kind: 'duplicateBackendServer', backendServer};
      }
      servers.add(backendServer);
    }
  }
  return null;
}

function findRuleProblem(
  readRules: readonly ReadRule[],
  databaseGroups: readonly DatabaseGroup[],
): ApplyError | null {
  const known = new Set(databaseGroups.map(group => group.databaseGroup));
  const seen = new Set<string>();
  for (const {application, databaseGroup, table} of readRules) {
    if (!known.has(databaseGroup)) {
      return {kind: 'unknownDatabaseGroup', databaseGroup};
    }
    const rule = `${application}, ${databaseGroup}, ${table}`;
    if (seen.has(rule)) {
      return {kind: 'duplicateReadRule', rule};
    }
    seen.add(rule);
  }
  return null;
}
