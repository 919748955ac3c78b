import {
  computeObjectName,
  encodeBody,
} from '@filbertrun/configuration/configuration_body.js';
import {encodePointer} from '@filbertrun/configuration/configuration_pointer.js';
import {
  CONFIGURATION_SCHEMA_VERSION,
  type Configuration,
} from '@filbertrun/model/configuration.js';
import {
  CONFIGURATION_KEY,
  type PlatformService,
} from '@filbertrun/platform/platform_service.js';
import {listPresetInstances, type Preset} from './presets.js';

/** Address on which an instance listens. @internal */
export interface InstanceAddress {
  readonly host: string;
  readonly port: number;
}

/** Initial weight of each instance in the distribution of replica reads. */
const INITIAL_WEIGHT = 100;

/** Creates the initial configuration of a preset. @internal */
export function createInitialConfiguration(
  preset: Preset,
  getAddress: (backendServer: string) => InstanceAddress,
): Configuration {
  const instances = listPresetInstances(preset);
  return {
    schemaVersion: CONFIGURATION_SCHEMA_VERSION,
    version: 1,
    databaseGroups: preset.databaseGroups.map(databaseGroup => ({
      databaseGroup,
      backendServers: instances
        .filter(instance => instance.databaseGroup === databaseGroup)
        .map(({backendServer, availabilityZone}) => ({
          backendServer,
          availabilityZone,
          ...getAddress(backendServer),
          state: 'active' as const,
          weight: INITIAL_WEIGHT,
          slots: preset.slots,
          maxConnections: preset.maxConnections,
        })),
    })),
    readRules: preset.readRules,
  };
}

/** Stores the initial configuration on the platform. @internal */
export async function seedConfiguration(
  configuration: Configuration,
  platform: PlatformService,
): Promise<void> {
  const body = encodeBody(configuration);
  const objectName = computeObjectName(body);
  const storedObject = await platform.putObject(objectName, body);
  const value = encodePointer({
    schemaVersion: 1,
    version: configuration.version,
    objectName,
    changes: [],
  });
  const storedPointer = await platform.putEntry({
    key: CONFIGURATION_KEY,
    value,
    expectedRevision: 0,
  });
  if (!storedObject.ok || !storedPointer.ok) {
    throw new Error('The platform did not store the initial configuration');
  }
}
