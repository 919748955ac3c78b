import process from 'node:process';
import {StandinSystem} from '@filbertrun/standin/standin_system.js';
import type {Preset} from '@filbertrun/standin/presets.js';
import {z} from 'zod';

/**
 * Child process of the control-cost scenario that runs small stand-ins of the
 * platform and of the database groups. Its only argument is JSON, see
 * `clusterStandinSchema`. It prints one line of JSON with their addresses when
 * all are listening.
 */

/** Validates the argument of the process. @public */
export const clusterStandinSchema = z
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
  const options = clusterStandinSchema.parse(JSON.parse(process.argv[2] ?? ''));
  const system = StandinSystem.create({
    preset: createPreset(options.zoneCount, options.groupCount),
    host: '127.0.0.1',
    portBase: null,
    user: options.user,
    password: options.password,
  });
  const addresses = await system.start();
  process.stdout.write(`${JSON.stringify(addresses)}\n`);
  process.once('SIGTERM', () => process.exit(0));
}

await main();
