import {EMPTY_CONFIGURATION} from '../configuration/configuration_delta.js';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import {createDatabaseRoute} from './create_database_route.js';

/** Creates a version of the configuration with routes of these databases. */
export function createConfiguration(
  version: number,
  ...databaseNames: readonly string[]
): ServiceConfiguration {
  const routes = databaseNames.map(
    name => [name, createDatabaseRoute(name)] as const,
  );
  return {...EMPTY_CONFIGURATION, version, routes: new Map(routes)};
}
