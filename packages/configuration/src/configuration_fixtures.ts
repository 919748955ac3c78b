import type {
  BackendServer,
  Configuration,
  DatabaseGroup,
} from '@filbertrun/model/configuration.js';
import type {
  ChangeRequest,
  ConfigurationChange,
} from './configuration_change.js';

/**
 * Test fixtures for configurations and changes.
 *
 * @internal
 */

/** Creates an active backend server. @internal */
export function createServer(backendServer: string): BackendServer {
  return {
    backendServer,
    availabilityZone: 'kochi',
    host: '10.0.0.1',
    port: 5432,
    state: 'active',
    weight: 100,
    slots: 2,
    maxConnections: 35,
  };
}

/** Creates a database group of three active backend servers. @internal */
export function createGroup(databaseGroup: string): DatabaseGroup {
  const backendServers = ['a', 'b', 'c'].map(suffix =>
    createServer(`${databaseGroup}-${suffix}`),
  );
  return {databaseGroup, backendServers};
}

/**
 * Creates a configuration of version 1 with the given database groups.
 *
 * @internal
 */
export function createConfiguration(
  ...groups: readonly string[]
): Configuration {
  return {
    schemaVersion: 1,
    version: 1,
    databaseGroups: groups.map(createGroup),
    readRules: [],
  };
}

/** Creates a request, by default without a base version. @internal */
export function createRequest(
  changeId: string,
  change: ConfigurationChange,
  baseVersion: number | null = null,
): ChangeRequest {
  return {changeId, baseVersion, change};
}

/** Creates the change that drains a backend server. @internal */
export function createDrain(backendServer: string): ConfigurationChange {
  return {kind: 'drainBackendServer', backendServer};
}
