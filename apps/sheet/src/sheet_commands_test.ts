import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {SystemClock} from '@filbertrun/base/clock.js';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {
  createGroup,
  createRequest,
} from '@filbertrun/configuration/configuration_fixtures.js';
import {
  readAcceptedConfiguration,
  submitChange,
} from '@filbertrun/configuration/submit_change.js';
import {OperatorClient} from '@filbertrun/peer/operator_client.js';
import {WebSocketTransport} from '@filbertrun/peer/web_socket_transport.js';
import {InMemoryPlatformService} from '@filbertrun/platform/in_memory_platform_service.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {runSheetCommand, type SheetCommand} from './sheet_commands.js';

const HEADER = 'application,database_group,table,consistency,max_age,priority';
const clock = SystemClock.create();
const random = SeededRandom.create(1);
let platform: InMemoryPlatformService;

async function run(command: SheetCommand, rows: readonly string[]) {
  const folder = await mkdtemp(path.join(tmpdir(), 'filbertrun-sheet-'));
  const file = path.join(folder, 'sheet.csv');
  await writeFile(file, [HEADER, ...rows].join('\n'));
  return runFile(command, file);
}

function runFile(command: SheetCommand, file: string) {
  const transport = WebSocketTransport.create({
    clock,
    secret: 'operator-secret',
    sourceAddress: null,
    tls: null,
  });
  const client = OperatorClient.create({
    platform,
    transport,
    proxyUrls: [],
    clock,
    random,
  });
  const settings = {
    changeId: 'sheet-1',
    baseVersion: null,
    wait: false,
    waitTimeoutMs: 1000,
  };
  return runSheetCommand(command, file, settings, {client, platform});
}

async function getRules() {
  const current = await readAcceptedConfiguration(platform);
  return current.ok ? current.value.held.configuration.readRules : null;
}

beforeEach(async () => {
  platform = InMemoryPlatformService.create({clock});
  const databaseGroups = [createGroup('outings-db-1')];
  await submitChange(
    createRequest('start', {kind: 'replaceDatabaseGroups', databaseGroups}),
    {platform, clock, random},
  );
});

describe('filbertrun-sheet', () => {
  const VALID_ROW = 'site,outings-db-1,timetable,age,5s,lookup';
  const INVALID_ROW = 'site,outings-db-1,roster,age,soon,lookup';

  it('accepts a sheet once and returns the same version for a repeated call', async () => {
    const first = await run('accept', [VALID_ROW]);
    const second = await run('accept', [VALID_ROW]);
    expect(first).toMatchObject({exitCode: 0, json: {version: 2}});
    expect(second).toMatchObject({json: {version: 2, effect: 'repeated'}});
    expect(await getRules()).toMatchObject([{maxAgeMs: 5000}]);
  });

  it('rejects the whole sheet when one cell is invalid', async () => {
    const report = await run('accept', [VALID_ROW, INVALID_ROW]);
    expect(report.exitCode).toBe(1);
    expect(report.text).toContain('row 3, column max_age: "soon"');
    expect(await getRules()).toEqual([]);
  });

  it('shows the differences without changing the read rules', async () => {
    const report = await run('diff', [VALID_ROW]);
    expect(report).toMatchObject({exitCode: 0});
    expect(report.text).toContain('+ site, outings-db-1, timetable');
    expect(await getRules()).toEqual([]);
  });

  it('checks a sheet and exits with code 1 on errors', async () => {
    expect((await run('check', [VALID_ROW])).exitCode).toBe(0);
    expect((await run('check', [INVALID_ROW])).exitCode).toBe(1);
  });

  it('uses different exit codes for an unreadable file and an unreachable platform', async () => {
    expect((await runFile('check', '/no/such/file')).exitCode).toBe(2);
    platform.setOutage(true);
    expect((await run('check', [VALID_ROW])).exitCode).toBe(3);
  });
});
