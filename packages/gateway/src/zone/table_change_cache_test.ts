import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {TableChange} from '../directory/watchable_table.js';
import {TableChangeCache, type TableUpdate} from './table_change_cache.js';

function put(key: string, revision: number): TableChange<string> {
  return {kind: 'put', key, revision, value: `${key}@${revision}`};
}

/** Applies an update as a follower does. */
function apply(
  known: ReadonlyMap<string, string>,
  update: TableUpdate<string>,
): ReadonlyMap<string, string> {
  const result = new Map(update.isListing ? [] : known);
  for (const change of update.changes) {
    if (change.kind === 'put') {
      result.set(change.key, change.value);
    } else {
      result.delete(change.key);
    }
  }
  return result;
}

describe('TableChangeCache', () => {
  it('returns a full listing if no revision is known', () => {
    const cache = TableChangeCache.create<string>();
    cache.applyListing({revision: 5, changes: [put('a', 3), put('b', 5)]});
    const update = cache.getUpdateSince(null);
    expect(update.isListing).toBe(true);
    expect(update.changes).toHaveLength(2);
  });

  it('returns the removal of a key that was removed between two listings', () => {
    const cache = TableChangeCache.create<string>();
    cache.applyListing({revision: 5, changes: [put('a', 3), put('b', 5)]});
    cache.applyListing({revision: 8, changes: [put('a', 3)]});
    expect(cache.getUpdateSince(5)).toEqual({
      isListing: false,
      revision: 8,
      changes: [{kind: 'removed', key: 'b', revision: 8}],
    });
  });

  it('returns a full listing for a revision before its first listing', () => {
    const cache = TableChangeCache.create<string>();
    cache.applyListing({revision: 5, changes: [put('a', 3)]});
    expect(cache.getUpdateSince(4).isListing).toBe(true);
    expect(cache.getUpdateSince(5).isListing).toBe(false);
  });

  it('keeps a follower consistent with the table for any sequence of changes and requests', () => {
    const step = fc.record({
      key: fc.constantFrom('a', 'b', 'c'),
      isRemoval: fc.boolean(),
      /** Whether the reader lists the table or receives only the change. */
      isListed: fc.boolean(),
      requestsUpdate: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 40}), steps => {
        const cache = TableChangeCache.create<string>();
        const table = new Map<string, TableChange<string>>();
        let revision = 1;
        let follower: ReadonlyMap<string, string> = new Map();
        let known: number | null = null;
        cache.applyListing({revision, changes: []});
        for (const {key, isRemoval, isListed, requestsUpdate} of steps) {
          revision++;
          const change: TableChange<string> = isRemoval
            ? {kind: 'removed', key, revision}
            : put(key, revision);
          if (isRemoval) {
            table.delete(key);
          } else {
            table.set(key, change);
          }
          if (isListed) {
            cache.applyListing({revision, changes: [...table.values()]});
          } else {
            cache.applyChanges({revision, changes: [change]});
          }
          if (requestsUpdate) {
            const update = cache.getUpdateSince(known);
            follower = apply(follower, update);
            known = update.revision;
            const expected = [...table].map(([name, {revision: at}]) => [
              name,
              `${name}@${at}`,
            ]);
            expect(Object.fromEntries(follower)).toEqual(
              Object.fromEntries(expected),
            );
          }
        }
      }),
    );
  });
});
