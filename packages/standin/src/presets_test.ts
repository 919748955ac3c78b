import {configurationSchema} from '@filbertrun/model/configuration.js';
import {describe, expect, it} from 'vitest';
import {createInitialConfiguration} from './initial_configuration.js';
import {
  PRESET_NAMES,
  getPreset,
  listPresetEntryVms,
  listPresetInstances,
} from './presets.js';

describe.each(PRESET_NAMES)('the preset %s', name => {
  const preset = getPreset(name);

  it('places the three instances of a group in three availability zones', () => {
    for (const databaseGroup of preset.databaseGroups) {
      const zones = listPresetInstances(preset)
        .filter(instance => instance.databaseGroup === databaseGroup)
        .map(instance => instance.availabilityZone);
      expect(new Set(zones).size).toBe(3);
    }
  });

  it('has an entry VM in every availability zone', () => {
    const zones = listPresetEntryVms(preset).map(vm => vm.availabilityZone);
    expect(new Set(zones)).toEqual(new Set(preset.availabilityZones));
  });

  it('has a valid initial configuration', () => {
    const configuration = createInitialConfiguration(preset, () => ({
      host: '127.0.0.1',
      port: 6530,
    }));
    expect(configurationSchema.parse(configuration)).toEqual(configuration);
  });
});

describe('the parameters of the presets', () => {
  it('match the sizes and latencies of the two deployments', () => {
    expect(getPreset('atlas')).toMatchObject({
      availabilityZones: ['mrk-a', 'mrk-b', 'agd-a', 'ouz-a'],
      databaseGroups: ['sched-db-1', 'sched-db-2', 'sched-db-3'],
      slots: 3,
      maxConnections: 20,
      connectTimeMs: 10,
      zoneLatencyMs: 0.5,
      callerLatencyMs: 3,
    });
    expect(getPreset('malabar')).toMatchObject({
      availabilityZones: ['kochi', 'shoranur', 'kozhikode'],
      databaseGroups: ['outings-db-1', 'outings-db-2', 'outings-db-3'],
      slots: 2,
      maxConnections: 35,
      connectTimeMs: 10,
      zoneLatencyMs: 0.5,
      callerLatencyMs: 1,
    });
  });
});
