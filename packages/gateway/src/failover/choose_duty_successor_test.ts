import {describe, expect, it} from 'vitest';
import type {EntryVmRecord} from '../control/control_record.js';
import {chooseDutySuccessors} from './choose_duty_successor.js';

function createRecord(
  entryVm: string,
  availabilityZone: string,
): EntryVmRecord {
  return {
    entryVm,
    availabilityZone,
    peerHost: '127.0.0.1',
    peerPort: 1,
    incarnation: 'one',
    leaseEndStoreMs: 0,
    contactWindowMs: null,
  };
}

function chooseNames(
  ownZone: string,
  primaryZones: readonly string[],
  others: readonly EntryVmRecord[],
): readonly string[] {
  return chooseDutySuccessors({
    ownZone,
    primaryZones,
    otherEntryVms: others,
  }).map(({entryVm}) => entryVm);
}

describe('chooseDutySuccessors', () => {
  it('prefers a zone without any primary', () => {
    const names = chooseNames(
      'a',
      ['a', 'a', 'b'],
      [
        createRecord('e2', 'b'),
        createRecord('e3', 'c'),
        createRecord('e1', 'a'),
      ],
    );
    expect(names).toEqual(['e3', 'e2']);
  });

  it('keeps the duty where no other zone has fewer primaries', () => {
    expect(
      chooseNames(
        'a',
        ['a', 'b', 'c'],
        [createRecord('e2', 'b'), createRecord('e3', 'c')],
      ),
    ).toEqual([]);
  });

  it('keeps the duty in a zone without primaries', () => {
    expect(
      chooseNames(
        'd',
        ['a', 'b'],
        [createRecord('e1', 'a'), createRecord('e4', 'd')],
      ),
    ).toEqual([]);
  });

  it('orders proxies of equally good zones by name', () => {
    expect(
      chooseNames(
        'a',
        ['a'],
        [createRecord('e3', 'c'), createRecord('e2', 'b')],
      ),
    ).toEqual(['e2', 'e3']);
  });
});
