import {createRevision} from '@filbertrun/platform/store_revision.js';
import {describe, expect, it} from 'vitest';
import type {PrimaryRecord} from './primary_record.js';
import {PrimaryRecordCache} from './primary_record_cache.js';

function revision(era: number, change: number): number {
  return createRevision({era, change}) ?? -1;
}

function stable(primary: string, term: number): PrimaryRecord {
  return {
    phase: 'stable',
    databaseGroup: 'group',
    primary,
    term,
    writesFromStoreMs: null,
  };
}

function changing(oldTerm: number, target: string | null): PrimaryRecord {
  return {
    phase: 'changing',
    databaseGroup: 'group',
    changeId: 'change',
    oldPrimary: 'p',
    oldTerm,
    target,
    lastOldPosition: null,
  };
}

describe('PrimaryRecordCache', () => {
  it('accepts records of one store era in the order of their revisions', () => {
    const cache = PrimaryRecordCache.create();
    expect(cache.apply({record: stable('p', 1), revision: 5})).toBe(true);
    expect(cache.apply({record: changing(1, null), revision: 6})).toBe(true);
    expect(cache.apply({record: stable('r', 2), revision: 7})).toBe(true);
    expect(cache.lostRecord).toBeNull();
  });

  it.each([
    {known: stable('r', 2), restored: stable('p', 1)},
    {known: stable('r', 2), restored: changing(1, 'r')},
    {known: changing(1, 'r'), restored: changing(1, null)},
    {known: changing(1, null), restored: stable('p', 1)},
  ])(
    'store restored: rejects an older $restored.phase record once a $known.phase record is known',
    ({known, restored}) => {
      const cache = PrimaryRecordCache.create();
      cache.apply({record: known, revision: revision(0, 90)});
      expect(cache.apply({record: restored, revision: revision(1, 60)})).toBe(
        false,
      );
      expect(cache.lostRecord).toEqual({
        record: known,
        expectedRevision: revision(1, 60),
      });
    },
  );

  it('store restored: reports no lost record after it was written again', () => {
    const cache = PrimaryRecordCache.create();
    cache.apply({record: stable('r', 2), revision: revision(0, 90)});
    cache.apply({record: stable('p', 1), revision: revision(1, 60)});
    cache.apply({record: stable('r', 2), revision: revision(1, 70)});
    expect(cache.lostRecord).toBeNull();
  });

  it('store restored: reports a lost record when the store has none', () => {
    const cache = PrimaryRecordCache.create();
    cache.apply({record: stable('p', 1), revision: revision(0, 90)});
    cache.markMissing(revision(1, 10));
    expect(cache.lostRecord).toEqual({
      record: stable('p', 1),
      expectedRevision: 0,
    });
  });

  it('store restored: reports the lost record of a change known only from its release', () => {
    const cache = PrimaryRecordCache.create();
    cache.apply({record: stable('p', 1), revision: revision(0, 80)});
    cache.recordAnnouncedChange(
      {changeId: 'change', oldTerm: 1},
      revision(0, 90),
    );
    cache.apply({record: stable('p', 1), revision: revision(1, 80)});
    expect(cache.lostRecord?.record).toEqual(changing(1, null));
  });

  it('store restored: accepts a record with the same progress as the known one', () => {
    const cache = PrimaryRecordCache.create();
    cache.apply({record: stable('p', 1), revision: revision(0, 80)});
    expect(
      cache.apply({record: stable('p', 1), revision: revision(1, 40)}),
    ).toBe(true);
  });
});
