import type {
  AvailabilityZone,
  BackendServerId,
  DatabaseGroupName,
  EntryVmId,
} from '@filbertrun/model/identifiers.js';
import type {ReadRule} from '@filbertrun/model/configuration.js';
import {WILDCARD} from '@filbertrun/model/configuration.js';

/**
 * Presets: the deployments that the stand-in can simulate.
 */

/** Name of a preset. @public */
export type PresetName = 'atlas' | 'malabar';

/** Names of all presets. @public */
export const PRESET_NAMES: readonly PresetName[] = ['atlas', 'malabar'];

/** A deployment to simulate. @public */
export interface Preset {
  readonly name: PresetName;
  readonly region: string;
  readonly availabilityZones: readonly AvailabilityZone[];
  /** One-way latency between two availability zones. */
  readonly zoneLatencyMs: number;
  /** Latency between an availability zone and a caller. */
  readonly callerLatencyMs: number;
  /** Time to establish a connection to an instance. */
  readonly connectTimeMs: number;
  /** Maximum number of concurrent statements of an instance. */
  readonly slots: number;
  /** Maximum number of connections of an instance. */
  readonly maxConnections: number;
  readonly databaseGroups: readonly DatabaseGroupName[];
  /** SQL statements that create and fill the tables of every group. */
  readonly initialStatements: readonly string[];
  readonly readRules: readonly ReadRule[];
}

/** An instance of a preset. @public */
export interface PresetInstance {
  readonly backendServer: BackendServerId;
  readonly databaseGroup: DatabaseGroupName;
  readonly availabilityZone: AvailabilityZone;
  /** Whether it is the primary in the first term of the group. */
  readonly isFirstPrimary: boolean;
}

/** An entry VM of a preset. @public */
export interface PresetEntryVm {
  readonly entryVm: EntryVmId;
  readonly availabilityZone: AvailabilityZone;
  /** Loopback address whose third byte identifies the availability zone. */
  readonly sourceAddress: string;
}

const INSTANCE_SUFFIXES = ['a', 'b', 'c'] as const;

/** Number of entry VMs in each deployment. */
const ENTRY_VM_COUNT = 5;

/** Number of rows in each table that starts with data. */
const INITIAL_ROW_COUNT = 20;

const ATLAS: Preset = {
  name: 'atlas',
  region: 'ma-south',
  availabilityZones: ['mrk-a', 'mrk-b', 'agd-a', 'ouz-a'],
  zoneLatencyMs: 0.5,
  callerLatencyMs: 3,
  connectTimeMs: 10,
  slots: 3,
  maxConnections: 20,
  databaseGroups: ['sched-db-1', 'sched-db-2', 'sched-db-3'],
  initialStatements: [
    'CREATE TABLE IF NOT EXISTS stage_booking (id bigint PRIMARY KEY, stage text NOT NULL, animator text NOT NULL)',
    'CREATE TABLE IF NOT EXISTS rig_reservation (rig bigint PRIMARY KEY, crew text NOT NULL)',
    'CREATE TABLE IF NOT EXISTS shot_board (shot bigint PRIMARY KEY, scene text NOT NULL, state text NOT NULL)',
    createInsertStatement('shot_board', 'shot, scene, state', row => [
      `scene-${row}`,
      'planned',
    ]),
  ],
  readRules: [
    ...createReadRules('sched-db', 'stage_booking', 'strict', null, 'booking'),
    ...createReadRules(
      'sched-db',
      'rig_reservation',
      'strict',
      null,
      'booking',
    ),
    ...createReadRules('sched-db', 'shot_board', 'session', null, 'normal'),
  ],
};

const MALABAR: Preset = {
  name: 'malabar',
  region: 'kerala',
  availabilityZones: ['kochi', 'shoranur', 'kozhikode'],
  zoneLatencyMs: 0.5,
  callerLatencyMs: 1,
  connectTimeMs: 10,
  slots: 2,
  maxConnections: 35,
  databaseGroups: ['outings-db-1', 'outings-db-2', 'outings-db-3'],
  initialStatements: [
    'CREATE TABLE IF NOT EXISTS seat_booking (id bigint PRIMARY KEY, run text NOT NULL, passenger text NOT NULL)',
    'CREATE TABLE IF NOT EXISTS boarding_manifest (id bigint PRIMARY KEY, run text NOT NULL, headcount int NOT NULL)',
    'CREATE TABLE IF NOT EXISTS timetable (id bigint PRIMARY KEY, run text NOT NULL, departs text NOT NULL)',
    'CREATE TABLE IF NOT EXISTS loco_roster (id bigint PRIMARY KEY, loco text NOT NULL, run text NOT NULL)',
    createInsertStatement('timetable', 'id, run, departs', row => [
      `run-${row}`,
      `${String(row).padStart(2, '0')}:15`,
    ]),
    createInsertStatement('loco_roster', 'id, loco, run', row => [
      `loco-${row}`,
      `run-${row}`,
    ]),
  ],
  readRules: [
    ...createReadRules(
      'outings-db',
      'seat_booking',
      'session',
      null,
      'booking',
    ),
    ...createReadRules(
      'outings-db',
      'boarding_manifest',
      'session',
      null,
      'normal',
    ),
    ...createReadRules('outings-db', 'timetable', 'age', 5000, 'lookup'),
    ...createReadRules('outings-db', 'loco_roster', 'age', 5000, 'lookup'),
  ],
};

/** Returns the preset of a name. @public */
export function getPreset(name: PresetName): Preset {
  return name === 'atlas' ? ATLAS : MALABAR;
}

/**
 * Lists the instances of a preset. The instances of a group are in different
 * availability zones, and so are the first primaries of the groups.
 *
 * @public
 */
export function listPresetInstances(preset: Preset): readonly PresetInstance[] {
  const instances: PresetInstance[] = [];
  for (const [groupIndex, databaseGroup] of preset.databaseGroups.entries()) {
    for (const [index, suffix] of INSTANCE_SUFFIXES.entries()) {
      instances.push({
        backendServer: `${databaseGroup}-${suffix}`,
        databaseGroup,
        availabilityZone: getZone(preset, groupIndex + index),
        isFirstPrimary: index === 0,
      });
    }
  }
  return instances;
}

/** Lists the entry VMs, spread over the preset's zones. @public */
export function listPresetEntryVms(preset: Preset): readonly PresetEntryVm[] {
  const vms: PresetEntryVm[] = [];
  for (let index = 0; index < ENTRY_VM_COUNT; index++) {
    const zoneNumber = (index % preset.availabilityZones.length) + 1;
    vms.push({
      entryVm: `entry-${index + 1}`,
      availabilityZone: getZone(preset, index),
      sourceAddress: `127.0.${zoneNumber}.${index + 1}`,
    });
  }
  return vms;
}

function getZone(preset: Preset, index: number): AvailabilityZone {
  const {availabilityZones} = preset;
  const zone = availabilityZones[index % availabilityZones.length];
  if (zone === undefined) {
    throw new Error('The preset has no availability zones');
  }
  return zone;
}

function createReadRules(
  groupPrefix: string,
  table: string,
  consistency: ReadRule['consistency'],
  maxAgeMs: number | null,
  priority: ReadRule['priority'],
): readonly ReadRule[] {
  return [1, 2, 3].map(number => ({
    application: WILDCARD,
    databaseGroup: `${groupPrefix}-${number}`,
    table,
    consistency,
    maxAgeMs,
    priority,
  }));
}

function createInsertStatement(
  table: string,
  columns: string,
  getTextValues: (row: number) => readonly string[],
): string {
  const rows: string[] = [];
  for (let row = 1; row <= INITIAL_ROW_COUNT; row++) {
    const texts = getTextValues(row).map(text => `'${text}'`);
    rows.push(`(${[row, ...texts].join(', ')})`);
  }
  return `INSERT INTO ${table} (${columns}) VALUES ${rows.join(', ')}`;
}
