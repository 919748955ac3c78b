import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {TableChange} from '../directory/watchable_table.js';
import {TableBoard, type TableNews} from './table_board.js';

function put(key: string, revision: number): TableChange<string> {
  return {kind: 'put', key, revision, value: `${key}@${revision}`};
}

/** Applies news as a follower does. */
function apply(
  known: ReadonlyMap<string, string>,
  news: TableNews<string>,
): ReadonlyMap<string, string> {
  const result = new Map(news.isListing ? [] : known);
  for (const change of news.changes) {
    if (change.kind === 'put') {
      result.set(change.key, change.value);
    } else {
      result.delete(change.key);
    }
  }
  return result;
}

describe('TableBoard', () => {
  it('tells all keys to whoever knows nothing', () => {
    const board = TableBoard.create<string>();
    board.takeListing({revision: 5, changes: [put('a', 3), put('b', 5)]});
    const news = board.getNewsSince(null);
    expect(news.isListing).toBe(true);
    expect(news.changes).toHaveLength(2);
  });

  it('tells what was removed between two listings', () => {
    const board = TableBoard.create<string>();
    board.takeListing({revision: 5, changes: [put('a', 3), put('b', 5)]});
    board.takeListing({revision: 8, changes: [put('a', 3)]});
    expect(board.getNewsSince(5)).toEqual({
      isListing: false,
      revision: 8,
      changes: [{kind: 'removed', key: 'b', revision: 8}],
    });
  });

  it('tells all keys to whoever knows only what was before its first listing', () => {
    const board = TableBoard.create<string>();
    board.takeListing({revision: 5, changes: [put('a', 3)]});
    expect(board.getNewsSince(4).isListing).toBe(true);
    expect(board.getNewsSince(5).isListing).toBe(false);
  });

  it('keeps any follower the same as the table, however seldom it asks', () => {
    const step = fc.record({
      key: fc.constantFrom('a', 'b', 'c'),
      isRemoval: fc.boolean(),
      /** Whether the reader lists the table, or hears of the change alone. */
      isListed: fc.boolean(),
      asks: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 40}), steps => {
        const board = TableBoard.create<string>();
        const table = new Map<string, TableChange<string>>();
        let revision = 1;
        let follower: ReadonlyMap<string, string> = new Map();
        let known: number | null = null;
        board.takeListing({revision, changes: []});
        for (const {key, isRemoval, isListed, asks} of steps) {
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
            board.takeListing({revision, changes: [...table.values()]});
          } else {
            board.takeChanges({revision, changes: [change]});
          }
          if (asks) {
            const news = board.getNewsSince(known);
            follower = apply(follower, news);
            known = news.revision;
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
