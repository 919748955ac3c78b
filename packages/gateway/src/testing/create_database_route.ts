import type {DatabaseRoute} from '../configuration/service_configuration.js';

/** Creates a route of a database, with defaults for what a test leaves out. */
export function createDatabaseRoute(
  databaseName: string,
  changes: Partial<DatabaseRoute> = {},
): DatabaseRoute {
  return {
    databaseName,
    databaseGroup: 'group',
    consistency: 'age',
    maxAgeMs: 1_500,
    statementTimeoutMs: 1_000,
    targetLatencyMs: 200,
    priority: 'normal',
    isPublic: false,
    ...changes,
  };
}
