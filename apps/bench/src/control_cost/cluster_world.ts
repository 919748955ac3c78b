import process from 'node:process';
import {StandinSystem} from '@filbertrun/standin/standin_system.js';
import type {Preset} from '@filbertrun/standin/presets.js';
import {z} from 'zod';

/**
 * Child program of the control-cost scenario: small stand-ins of the platform
 * and of any number of database groups. Its only argument is JSON, see
 * `clusterWorldSchema`; it prints one line of JSON when all listen.
 */

/** Validates what the program is asked to play. @public */
export const clusterWorldSchema = z
  .object({
    zoneCount: z.number().int().min(1).max(20),
    groupCount: z.number().int().min(1).max(1000),
    user: z.string(),
    password: z.string(),
  })
  .readonly();

const CONNECT_TIME_MS = 10;
const SLOTS = 3;
const MAX_CONNECTIONS = 20;

function createNames(prefix: string, count: number): readonly string[] {
  const names: string[] = [];
  for (let index = 1; index <= count; index += 1) {
    names.push(`${prefix}-${index}`);
  }
  return names;
}

function createPreset(zoneCount: number, groupCount: number): Preset {
  return {
    name: 'atlas',
    region: 'bench',
    availabilityZones: createNames('zone', zoneCount),
    zoneLatencyMs: 0,
    callerLatencyMs: 0,
    connectTimeMs: CONNECT_TIME_MS,
    slots: SLOTS,
    maxConnections: MAX_CONNECTIONS,
    databaseGroups: createNames('group', groupCount),
    initialStatements: [],
    readRules: [],
  };
}

async function main(): Promise<void> {
  const world = clusterWorldSchema.parse(JSON.parse(process.argv[2] ?? ''));
  const system = StandinSystem.create({
    preset: createPreset(world.zoneCount, world.groupCount),
    host: '127.0.0.1',
    portBase: null,
    user: world.user,
    password: world.password,
  });
  const addresses = await system.start();
  process.stdout.write(`${JSON.stringify(addresses)}\n`);
  process.once('SIGTERM', () => process.exit(0));
}

await main();
