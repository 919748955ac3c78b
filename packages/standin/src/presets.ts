import type {
  AvailabilityZone,
  BackendServerId,
  DatabaseGroupName,
  EntryVmId,
} from '@filbertrun/model/identifiers.js';
import type {ReadRule} from '@filbertrun/model/configuration.js';
import {WILDCARD} from '@filbertrun/model/configuration.js';

/**
 * The deployments that the stand-in can play.
 */

/** Name of a preset. @public */
export type PresetName = 'atlas' | 'malabar';

/** All presets. @public */
export const PRESET_NAMES: readonly PresetName[] = ['atlas', 'malabar'];

/** A deployment to play. @public */
export interface Preset {
  readonly name: PresetName;
  readonly region: string;
  readonly availabilityZones: readonly AvailabilityZone[];
  /** Latency between two availability zones, one way. */
  readonly zoneLatencyMs: number;
  /** Latency between an availability zone and a caller. */
  readonly callerLatencyMs: number;
  /** Time that a new connection to an instance takes. */
  readonly connectTimeMs: number;
  /** Statements that an instance runs at once. */
  readonly slots: number;
  /** Connections that an instance accepts. */
  readonly maxConnections: number;
  readonly databaseGroups: readonly DatabaseGroupName[];
  /** Tables that every group starts with, as SQL. */
  readonly initialStatements: readonly string[];
  readonly readRules: readonly ReadRule[];
}

/** An instance of a preset. @public */
export interface PresetInstance {
  readonly backendServer: BackendServerId;
  readonly databaseGroup: DatabaseGroupName;
  readonly availabilityZone: AvailabilityZone;
  /** Whether the group starts with it as primary. */
  readonly isFirstPrimary: boolean;
}

/** An entry VM of a preset. @public */
export interface PresetEntryVm {
  readonly entryVm: EntryVmId;
  readonly availabilityZone: AvailabilityZone;
  /** Loopback address whose third part tells the availability zone. */
  readonly sourceAddress: string;
}

const INSTANCE_SUFFIXES = ['a', 'b', 'c'] as const;

/** Entry VMs of each deployment. */
const ENTRY_VM_COUNT = 5;

/** Rows that each table starts with. */
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
    createRows('shot_board', 'shot, scene, state', row => [
      `scene-${row}`,
      'planned',
    ]),
  ],
  readRules: [
    ...createRules('sched-db', 'stage_booking', 'strict', null, 'booking'),
    ...createRules('sched-db', 'rig_reservation', 'strict', null, 'booking'),
    ...createRules('sched-db', 'shot_board', 'session', null, 'normal'),
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
    createRows('timetable', 'id, run, departs', row => [
      `run-${row}`,
      `${String(row).padStart(2, '0')}:15`,
    ]),
    createRows('loco_roster', 'id, loco, run', row => [
      `loco-${row}`,
      `run-${row}`,
    ]),
  ],
  readRules: [
    ...createRules('outings-db', 'seat_booking', 'session', null, 'booking'),
    ...createRules(
      'outings-db',
      'boarding_manifest',
      'session',
      null,
      'normal',
    ),
    ...createRules('outings-db', 'timetable', 'age', 5000, 'lookup'),
    ...createRules('outings-db', 'loco_roster', 'age', 5000, 'lookup'),
  ],
};

/** The preset with a name. @public */
export function getPreset(name: PresetName): Preset {
  return name === 'atlas' ? ATLAS : MALABAR;
}

/**
 * The instances of a preset. Those of a group lie in different availability
 * zones, and the first primaries of the groups do too.
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

/** The entry VMs of a preset, spread over its availability zones. @public */
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
    throw new Error('A preset has no availability zones');
  }
  return zone;
}

function createRules(
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

function createRows(
  table: string,
  columns: string,
  getTexts: (row: number) => readonly string[],
): string {
  const rows: string[] = [];
  for (let row = 1; row <= INITIAL_ROW_COUNT; row++) {
    const texts = getTexts(row).map(text => `'${text}'`);
    rows.push(`(${[row, ...texts].join(', ')})`);
  }
  return `INSERT INTO ${table} (${columns}) VALUES ${rows.join(', ')}`;
}
