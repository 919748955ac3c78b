import {SeededRandom} from '@filbertrun/base/random_source.js';
import {encodeBody} from '@filbertrun/configuration/configuration_body.js';
import {
  CONFIGURATION_SCHEMA_VERSION,
  type Configuration,
  type DatabaseGroup,
  type ReadRule,
} from '@filbertrun/model/configuration.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import {SessionFloors} from '@filbertrun/session/session_floors.js';
import {SessionTokenCodec} from '@filbertrun/session/session_token_codec.js';
import {fitLine, type MeasuredPoint} from './linear_fit.js';
import type {Scenario, ScenarioContext, ScenarioResult} from './scenario.js';

/**
 * Measures the size of session tokens and of the configuration as a function of
 * the number of database groups.
 */

const GROUP_COUNTS: readonly number[] = [1, 3, 30, 300, 870];
const INSTANCES_PER_GROUP = 3;
const RULES_PER_GROUP = 3;

/** Highest position of the random floors. */
const MAX_POSITION = 1_000_000_000;

const DESIGN_GROUP_COUNT = 870;
const BENCH_KEY = 'bench-signing-key';

/** @public */
export const stateSizeScenario: Scenario = {
  name: 'state-size',
  description: 'size of tokens and configuration by number of groups',
  defaultPreset: 'atlas',
  run: context => Promise.resolve(run(context)),
};

function run(context: ScenarioContext): ScenarioResult {
  const random = SeededRandom.create(context.seed);
  const tokens = GROUP_COUNTS.map(count => ({
    x: count,
    y: measureToken(count, random),
  }));
  const bodies = GROUP_COUNTS.map(count => ({
    x: count,
    y: Buffer.byteLength(encodeBody(createConfiguration(count))),
  }));
  const sizeAtDesign = tokens.at(-1)?.y ?? 0;
  return {
    figures: {
      tokenBytes: {points: tokens.map(describePoint), ...fitLine(tokens)},
      configurationBytes: {
        points: bodies.map(describePoint),
        ...fitLine(bodies),
      },
    },
    violations: 0,
    targets: [
      {
        target: `a token holds floors of ${DESIGN_GROUP_COUNT} groups`,
        isMet: sizeAtDesign > 0,
      },
    ],
    settings: {
      instancesPerGroup: INSTANCES_PER_GROUP,
      rulesPerGroup: RULES_PER_GROUP,
    },
  };
}

function describePoint({x, y}: MeasuredPoint) {
  return {groups: x, bytes: y};
}

/**
 * Returns the size of a token with floors of `count` groups, or 0 if the codec
 * rejects it.
 */
function measureToken(count: number, random: SeededRandom): number {
  const codec = SessionTokenCodec.create({signingKeys: [BENCH_KEY]});
  let floors = SessionFloors.createEmpty();
  for (let index = 0; index < count; index++) {
    floors = floors.raise(getGroupName(index), createRandomPosition(random));
  }
  const token = codec.encode(floors);
  return token.ok ? Buffer.byteLength(token.value) : 0;
}

function createRandomPosition(random: SeededRandom): LogPosition {
  return {
    term: random.nextInteger(1, 100),
    position: random.nextInteger(1, MAX_POSITION),
  };
}

function getGroupName(index: number): string {
  return `outings-db-${index + 1}`;
}

function createConfiguration(count: number): Configuration {
  const databaseGroups: DatabaseGroup[] = [];
  const readRules: ReadRule[] = [];
  for (let index = 0; index < count; index++) {
    databaseGroups.push(createGroup(getGroupName(index)));
    for (let rule = 0; rule < RULES_PER_GROUP; rule++) {
      readRules.push(createRule(getGroupName(index), rule));
    }
  }
  return {
    schemaVersion: CONFIGURATION_SCHEMA_VERSION,
    version: 1,
    databaseGroups,
    readRules,
  };
}

function createGroup(databaseGroup: string): DatabaseGroup {
  const backendServers = [];
  for (let index = 0; index < INSTANCES_PER_GROUP; index++) {
    backendServers.push({
      backendServer: `${databaseGroup}-${index}`,
      availabilityZone: `zone-${index}`,
      host: '10.100.100.100',
      port: 5432,
      state: 'active' as const,
      weight: 100,
      slots: 3,
      maxConnections: 20,
    });
  }
  return {databaseGroup, backendServers};
}

function createRule(databaseGroup: string, index: number): ReadRule {
  return {
    application: 'public-site',
    databaseGroup,
    table: `table_${index}`,
    consistency: 'age',
    maxAgeMs: 5000,
    priority: 'lookup',
  };
}
