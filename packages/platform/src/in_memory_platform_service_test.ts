import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {describe, expect, it} from 'vitest';
import {InMemoryPlatformService} from './in_memory_platform_service.js';

function createPlatform() {
  const clock = VirtualClock.create();
  return {clock, platform: InMemoryPlatformService.create({clock})};
}

describe('InMemoryPlatformService', () => {
  it('accepts only the first of two writes at the same revision', async () => {
    const {platform} = createPlatform();
    const write = {key: 'k', expectedRevision: 0};
    const first = await platform.putEntry({...write, value: 'a'});
    const second = await platform.putEntry({...write, value: 'b'});
    expect(first).toMatchObject({ok: true, value: {revision: 1}});
    expect(second).toMatchObject({
      ok: false,
      error: {kind: 'conflict', current: {value: 'a', revision: 1}},
    });
  });

  it('applies a write that reports outcomeUnknown', async () => {
    const {platform} = createPlatform();
    platform.dropNextResponse();
    const lost = await platform.putEntry({
      key: 'k',
      value: 'a',
      expectedRevision: 0,
    });
    expect(lost).toMatchObject({error: {kind: 'outcomeUnknown'}});
    expect(await platform.getEntry('k')).toMatchObject({value: {value: 'a'}});
  });

  it('changes nothing during an outage', async () => {
    const {platform} = createPlatform();
    platform.setOutage(true);
    const refused = await platform.putObject('o', 'body');
    platform.setOutage(false);
    expect(refused).toMatchObject({error: {kind: 'unavailable'}});
    expect(await platform.getObject('o')).toEqual({ok: true, value: null});
  });

  it('lists a VM once the list lag has passed', async () => {
    const {clock, platform} = createPlatform();
    platform.setVmListLagMs(100);
    platform.putVm({
      entryVm: 'entry-1',
      availabilityZone: 'kochi',
      peerUrl: 'http://127.0.0.1:1',
      state: 'live',
    });
    expect(await platform.listVms()).toEqual({ok: true, value: []});
    clock.advance(100);
    expect(await platform.listVms()).toMatchObject({
      value: [{entryVm: 'entry-1'}],
    });
  });

  it('settles a delayed call by the time of its clock', async () => {
    const {clock, platform} = createPlatform();
    platform.setLatencyMs(10);
    const pending = platform.getEntry('k');
    clock.advance(5);
    await Promise.resolve();
    await Promise.resolve();
    clock.advance(5);
    expect(await pending).toEqual({ok: true, value: null});
  });
});
