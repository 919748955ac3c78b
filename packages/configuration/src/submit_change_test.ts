import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {InMemoryPlatformService} from '@filbertrun/platform/in_memory_platform_service.js';
import {beforeEach, describe, expect, it} from 'vitest';
import type {ChangeRequest} from './configuration_change.js';
import {
  createDrain,
  createGroup,
  createRequest,
  createServer,
} from './configuration_fixtures.js';
import {readAcceptedConfiguration, submitChange} from './submit_change.js';

let clock: VirtualClock;
let platform: InMemoryPlatformService;

/** Advances the virtual clock until a promise has settled. */
async function runToCompletion<T>(promise: Promise<T>): Promise<T> {
  let isSettled = false;
  const observed = promise.finally(() => {
    isSettled = true;
  });
  while (!isSettled) {
    await new Promise(resolve => setImmediate(resolve));
    clock.advance(10);
  }
  return observed;
}

function submit(request: ChangeRequest) {
  const random = SeededRandom.create(1);
  return runToCompletion(submitChange(request, {platform, clock, random}));
}

async function getVersion(): Promise<number> {
  const current = await runToCompletion(readAcceptedConfiguration(platform));
  return current.ok ? current.value.held.configuration.version : -1;
}

beforeEach(async () => {
  clock = VirtualClock.create();
  platform = InMemoryPlatformService.create({clock});
  const databaseGroups = [createGroup('outings-db-1')];
  await submit(
    createRequest('start', {kind: 'replaceDatabaseGroups', databaseGroups}),
  );
});

describe('submitChange', () => {
  it('accepts a change and increments the version', async () => {
    const result = await submit(
      createRequest('drain-1', createDrain('outings-db-1-a')),
    );
    expect(result).toMatchObject({
      ok: true,
      value: {changeId: 'drain-1', version: 2, effect: 'accepted'},
    });
  });

  it('accepts a change once if its change id is submitted twice', async () => {
    const request = createRequest('drain-1', createDrain('outings-db-1-a'));
    const first = await submit(request);
    await submit(createRequest('drain-2', createDrain('outings-db-1-b')));
    const second = await submit(request);
    expect(first).toMatchObject({value: {version: 2}});
    expect(second).toMatchObject({value: {version: 2, effect: 'repeated'}});
    expect(await getVersion()).toBe(3);
  });

  it('refuses a change id that was already used for another change', async () => {
    await submit(createRequest('drain-1', createDrain('outings-db-1-a')));
    const second = await submit(
      createRequest('drain-1', createDrain('outings-db-1-b')),
    );
    expect(second).toMatchObject({
      error: {kind: 'changeIdReused', earlier: {version: 2}},
    });
  });

  it('writes nothing for a change without effect', async () => {
    const undrain = {
      kind: 'undrainBackendServer',
      backendServer: 'outings-db-1-a',
    } as const;
    const result = await submit(createRequest('undrain-1', undrain));
    expect(result).toMatchObject({value: {effect: 'unchanged', version: 1}});
    expect(await getVersion()).toBe(1);
  });

  it('accepts one of two concurrent changes of a server and reports it to the other', async () => {
    const results = await runToCompletion(
      Promise.all([
        submit(createRequest('drain-1', createDrain('outings-db-1-a'), 1)),
        submit(
          createRequest(
            'shift-1',
            {
              kind: 'shiftLoad',
              weights: [{backendServer: 'outings-db-1-a', weight: 10}],
            },
            1,
          ),
        ),
      ]),
    );
    const winners = results.filter(result => result.ok);
    const losers = results.filter(result => !result.ok);
    expect(winners).toHaveLength(1);
    expect(losers).toMatchObject([
      {error: {kind: 'conflict', winner: {version: 2}}},
    ]);
  });

  it('accepts both of two concurrent changes of different parts', async () => {
    const results = await runToCompletion(
      Promise.all([
        submit(createRequest('drain-1', createDrain('outings-db-1-a'))),
        submit(createRequest('drain-2', createDrain('outings-db-1-b'))),
      ]),
    );
    expect(results.every(result => result.ok)).toBe(true);
    expect(await getVersion()).toBe(3);
  });

  it('recognizes its change by the change id after the response was lost', async () => {
    platform.dropNextResponse();
    const result = await submit(
      createRequest('drain-1', createDrain('outings-db-1-a')),
    );
    expect(result).toMatchObject({ok: true, value: {version: 2}});
    expect(await getVersion()).toBe(2);
  });

  it('reports an unknown outcome if the platform fails after a lost response', async () => {
    const putEntry = platform.putEntry.bind(platform);
    platform.putEntry = async write => {
      await putEntry(write);
      platform.setOutage(true);
      return {ok: false, error: {kind: 'outcomeUnknown', reason: 'lost'}};
    };
    const result = await submit(
      createRequest('drain-1', createDrain('outings-db-1-a')),
    );
    expect(result).toMatchObject({error: {kind: 'outcomeUnknown'}});
  });

  it('reports that nothing was accepted while the platform is down', async () => {
    platform.setOutage(true);
    const result = await submit(
      createRequest('drain-1', createDrain('outings-db-1-a')),
    );
    expect(result).toMatchObject({error: {kind: 'unavailable'}});
  });

  it.each([
    [createDrain('no-such-server'), 'does not exist'],
    [
      {kind: 'removeBackendServer', backendServer: 'outings-db-1-a'} as const,
      'must be drained',
    ],
  ])('refuses the change %j', async (change, reason) => {
    const result = await submit(createRequest('change-1', change));
    expect(result).toMatchObject({error: {kind: 'invalid'}});
    expect(JSON.stringify(result)).toContain(reason);
  });

  it('refuses a change that makes the configuration invalid', async () => {
    const databaseGroups = [
      {
        databaseGroup: 'large',
        backendServers: Array.from({length: 17}, (_, index) =>
          createServer(`large-${index}`),
        ),
      },
    ];
    const change = {kind: 'replaceDatabaseGroups', databaseGroups} as const;
    const result = await submit(createRequest('change-1', change));
    expect(result).toMatchObject({error: {kind: 'invalid'}});
  });

  it('refuses to drain the last active server of a group', async () => {
    await submit(createRequest('1', createDrain('outings-db-1-a')));
    await submit(createRequest('2', createDrain('outings-db-1-b')));
    const last = await submit(
      createRequest('3', createDrain('outings-db-1-c')),
    );
    expect(JSON.stringify(last)).toContain('last active one');
  });

  it('refuses a base version if later changes are no longer recorded', async () => {
    for (let index = 0; index < 50; index++) {
      const backendServer = 'outings-db-1-a';
      const weights = [{backendServer, weight: index}];
      await submit(createRequest(`c-${index}`, {kind: 'shiftLoad', weights}));
    }
    const result = await submit(
      createRequest('late', createDrain('outings-db-1-b'), 1),
    );
    expect(result).toMatchObject({error: {kind: 'baseTooOld'}});
  });
});
