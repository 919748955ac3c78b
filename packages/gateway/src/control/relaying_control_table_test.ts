import {SeededRandom} from '@filbertrun/base/random_source.js';
import {failure, success} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import type {ControlRelay} from '../peer/control_relay.js';
import {createEntryVmRecord} from '../testing/create_entry_vm_record.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {RelayingControlTable} from './relaying_control_table.js';

const PEER = createEntryVmRecord('entry-2', 'zone-b');

describe('RelayingControlTable', () => {
  let clock: VirtualClock;
  let direct: FakeControlTable;
  let store: FakeControlTable;
  let isPeerReachable: boolean;
  let table: RelayingControlTable;

  beforeEach(() => {
    clock = VirtualClock.create();
    direct = FakeControlTable.create(clock);
    store = FakeControlTable.create(clock);
    isPeerReachable = true;
    const relay: ControlRelay = {
      listControl: async () =>
        isPeerReachable
          ? success(await store.listEntries())
          : failure({kind: 'unreachable', reason: 'no response'}),
      putControl: async (_peer, write) =>
        isPeerReachable
          ? success(await store.putEntry(write))
          : success(
              failure({kind: 'outcomeUnknown' as const, reason: 'no response'}),
            ),
    };
    table = RelayingControlTable.create({
      direct,
      relay,
      clock,
      events: InMemoryEventRecorder.create(),
      random: SeededRandom.create(1),
      getOtherEntryVms: () => [PEER],
    });
  });

  it('relays a read through another proxy when the store does not respond', async () => {
    direct.isReadable = false;
    store.seed('key', 'value');
    const listing = await table.listEntries();
    expect(listing.ok && listing.value.entries.has('key')).toBe(true);
  });

  it('relays a write that was certainly not applied', async () => {
    direct.writeMode = 'unavailable';
    const write = {key: 'key', value: '1', expectedRevision: 0};
    const result = await table.putEntry(write);
    expect(result.ok).toBe(true);
    expect(store.entries.has('key')).toBe(true);
  });

  it('does not relay a write whose outcome is unknown', async () => {
    direct.writeMode = 'doneWithoutAnswer';
    const write = {key: 'key', value: '1', expectedRevision: 0};
    const result = await table.putEntry(write);
    expect(!result.ok && result.error.kind).toBe('outcomeUnknown');
    expect(store.writeCount).toBe(0);
  });

  it('rejects relayed calls of other proxies while it cannot reach the store', async () => {
    direct.isReadable = false;
    await table.listEntries();
    const listing = await table.listForPeer();
    expect(listing.ok).toBe(false);
  });

  it('fails as unavailable when neither the store nor a proxy responds', async () => {
    direct.isReadable = false;
    isPeerReachable = false;
    const listing = await table.listEntries();
    expect(!listing.ok && listing.error.kind).toBe('unavailable');
  });

  it('returns to direct calls when the store responds again', async () => {
    direct.isReadable = false;
    await table.listEntries();
    direct.isReadable = true;
    await table.listEntries();
    await Promise.resolve();
    await Promise.resolve();
    await Promise.resolve();
    expect(table.isSuspect).toBe(false);
  });
});
