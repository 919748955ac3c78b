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
  passedOver: readonly string[] = [],
): string | null {
  const reader = chooseZoneReader({
    entryVm,
    availabilityZone: 'zone-a',
    entryVms: ALL,
    isPassedOver: record => passedOver.includes(record.entryVm),
  });
  return reader?.entryVm ?? null;
}

describe('chooseZoneReader', () => {
  it('gives all proxies of a zone the same reader', () => {
    expect(choose('e2')).toBe('e1');
    expect(choose('e3')).toBe('e1');
  });

  it('lets the first one read the store itself', () => {
    expect(choose('e1')).toBeNull();
  });

  it('goes on to the next one where the first is passed over', () => {
    expect(choose('e3', ['e1'])).toBe('e2');
    expect(choose('e2', ['e1'])).toBeNull();
  });

  it('sends a proxy that has lost the store to the next one', () => {
    expect(choose('e1', ['e1'])).toBe('e2');
  });

  it('reads itself when no other one is left', () => {
    expect(choose('e1', ['e1', 'e2', 'e3'])).toBeNull();
  });
});
