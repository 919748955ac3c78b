import {describe, expect, it} from 'vitest';
import {createEntryVmRecord} from '../testing/create_entry_vm_record.js';
import {chooseZoneReader} from './choose_zone_reader.js';

const ALL = [
  createEntryVmRecord('e3'),
  createEntryVmRecord('e1'),
  createEntryVmRecord('e0', 'zone-b'),
  createEntryVmRecord('e2'),
];

function choose(
  entryVm: string,
  backedOff: readonly string[] = [],
): string | null {
  const reader = chooseZoneReader({
    entryVm,
    availabilityZone: 'zone-a',
    entryVms: ALL,
    isBackedOff: record => backedOff.includes(record.entryVm),
  });
  return reader?.entryVm ?? null;
}

describe('chooseZoneReader', () => {
  it('chooses the same reader for all proxies of a zone', () => {
    expect(choose('e2')).toBe('e1');
    expect(choose('e3')).toBe('e1');
  });

  it('chooses no other reader for the first proxy of the zone', () => {
    expect(choose('e1')).toBeNull();
  });

  it('chooses the next proxy while the first is backed off', () => {
    expect(choose('e3', ['e1'])).toBe('e2');
    expect(choose('e2', ['e1'])).toBeNull();
  });

  it('chooses the next proxy for a reader that has lost the store', () => {
    expect(choose('e1', ['e1'])).toBe('e2');
  });

  it('chooses no reader if every proxy of the zone is backed off', () => {
    expect(choose('e1', ['e1', 'e2', 'e3'])).toBeNull();
  });
});
