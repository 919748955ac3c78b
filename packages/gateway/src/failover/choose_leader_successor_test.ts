import {describe, expect, it} from 'vitest';
import {createEntryVmRecord} from '../testing/create_entry_vm_record.js';
import type {EntryVmRecord} from '../control/control_record.js';
import {chooseLeaderSuccessors} from './choose_leader_successor.js';

function chooseNames(
  localZone: string,
  primaryZones: readonly string[],
  others: readonly EntryVmRecord[],
): readonly string[] {
  return chooseLeaderSuccessors({
    localZone,
    primaryZones,
    otherEntryVms: others,
  }).map(({entryVm}) => entryVm);
}

describe('chooseLeaderSuccessors', () => {
  it('prefers a zone without any primary', () => {
    const names = chooseNames(
      'a',
      ['a', 'a', 'b'],
      [
        createEntryVmRecord('e2', 'b'),
        createEntryVmRecord('e3', 'c'),
        createEntryVmRecord('e1', 'a'),
      ],
    );
    expect(names).toEqual(['e3', 'e2']);
  });

  it('chooses no proxy if no other zone has fewer primaries', () => {
    expect(
      chooseNames(
        'a',
        ['a', 'b', 'c'],
        [createEntryVmRecord('e2', 'b'), createEntryVmRecord('e3', 'c')],
      ),
    ).toEqual([]);
  });

  it('chooses no proxy if the local zone has no primaries', () => {
    expect(
      chooseNames(
        'd',
        ['a', 'b'],
        [createEntryVmRecord('e1', 'a'), createEntryVmRecord('e4', 'd')],
      ),
    ).toEqual([]);
  });

  it('orders proxies of zones with equally many primaries by name', () => {
    expect(
      chooseNames(
        'a',
        ['a'],
        [createEntryVmRecord('e3', 'c'), createEntryVmRecord('e2', 'b')],
      ),
    ).toEqual(['e2', 'e3']);
  });
});
