import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {RequestPriority} from '@filbertrun/model/configuration.js';
import {FairQueue} from './fair_queue.js';
import type {QueuedEntry} from './request_queue.js';

interface Entry extends QueuedEntry {
  readonly name: string;
}

function createEntry(
  name: string,
  identity: string,
  changes: Partial<QueuedEntry> = {},
): Entry {
  return {
    name,
    identity,
    priority: 'normal',
    deadlineMs: 1000,
    workMs: 10,
    isReplaceable: false,
    ...changes,
  };
}

function createQueue(entries: readonly Entry[]): FairQueue<Entry> {
  const queue = FairQueue.create<Entry>();
  for (const entry of entries) {
    queue.add(entry);
  }
  return queue;
}

function serveNext(queue: FairQueue<Entry>): Entry | null {
  for (const entry of queue.getAll()) {
    queue.serve(entry);
    return entry;
  }
  return null;
}

function serveAll(queue: FairQueue<Entry>): readonly string[] {
  const names: string[] = [];
  for (;;) {
    const entry = serveNext(queue);
    if (entry === null) {
      return names;
    }
    names.push(entry.name);
  }
}

describe('FairQueue', () => {
  it('serves a more urgent priority before the fair order', () => {
    const queue = createQueue([
      createEntry('lookup', 'a', {priority: 'lookup'}),
      createEntry('normal', 'a'),
      createEntry('booking', 'b', {priority: 'booking'}),
    ]);
    expect(serveAll(queue)).toEqual(['booking', 'normal', 'lookup']);
  });

  it('does not let an identity delay another by the number of its entries', () => {
    const queue = createQueue([
      createEntry('a1', 'a'),
      createEntry('a2', 'a'),
      createEntry('a3', 'a'),
      createEntry('b1', 'b'),
      createEntry('b2', 'b'),
    ]);
    expect(serveAll(queue)).toEqual(['a1', 'b1', 'a2', 'b2', 'a3']);
  });

  it('counts work, not entries', () => {
    const queue = createQueue([
      createEntry('a1', 'a', {workMs: 30}),
      createEntry('a2', 'a', {workMs: 30}),
      createEntry('b1', 'b'),
      createEntry('b2', 'b'),
      createEntry('b3', 'b'),
    ]);
    expect(serveAll(queue)).toEqual(['a1', 'b1', 'b2', 'b3', 'a2']);
  });

  it('takes the earliest deadline among identities that have used the same work', () => {
    const queue = createQueue([
      createEntry('a1', 'a', {deadlineMs: 300}),
      createEntry('b1', 'b', {deadlineMs: 100}),
      createEntry('c1', 'c', {deadlineMs: 200}),
    ]);
    expect(serveAll(queue)).toEqual(['b1', 'c1', 'a1']);
  });

  it('takes the earliest deadline within an identity', () => {
    const queue = createQueue([
      createEntry('a1', 'a', {deadlineMs: 300}),
      createEntry('a2', 'a', {deadlineMs: 100}),
    ]);
    expect(serveAll(queue)).toEqual(['a2', 'a1']);
  });

  it('does not save up the share of an identity that was idle', () => {
    const queue = createQueue([]);
    for (let index = 0; index < 50; index++) {
      queue.add(createEntry('a', 'a'));
      serveNext(queue);
    }
    for (let index = 0; index < 3; index++) {
      queue.add(createEntry(`a${index}`, 'a'));
      queue.add(createEntry(`b${index}`, 'b', {deadlineMs: 2000}));
    }
    expect(serveAll(queue)).toEqual(['b0', 'a0', 'b1', 'a1', 'b2', 'a2']);
  });

  it('counts the real work of an entry that took longer than expected', () => {
    const queue = createQueue([
      createEntry('a1', 'a', {deadlineMs: 1}),
      createEntry('a2', 'a', {deadlineMs: 2}),
      createEntry('b1', 'b'),
      createEntry('b2', 'b'),
      createEntry('b3', 'b'),
    ]);
    const first = serveNext(queue);
    queue.correctWork(first ?? createEntry('', ''), 25);
    expect(serveAll(queue)).toEqual(['b1', 'b2', 'b3', 'a2']);
  });

  it('does not bar an identity for long after one stuck statement', () => {
    const queue = createQueue([
      createEntry('a1', 'a', {deadlineMs: 1}),
      createEntry('a2', 'a'),
    ]);
    for (let index = 0; index < 20; index++) {
      queue.add(createEntry('b', 'b'));
    }
    const first = serveNext(queue);
    queue.correctWork(first ?? createEntry('', ''), 60_000);
    expect(serveAll(queue).indexOf('a2')).toBeLessThan(6);
  });

  it('gives up the last entry of the lowest priority, then of the largest user', () => {
    const heavy = [1, 2, 3].map(index =>
      createEntry(`a${index}`, 'a', {deadlineMs: 1000 + index}),
    );
    const lookup = createEntry('lookup', 'b', {priority: 'lookup'});
    const queue = createQueue([...heavy, lookup]);
    const arrival = createEntry('b1', 'b');
    expect(queue.findDisplaceable(arrival)).toBe(lookup);
    queue.remove(lookup);
    expect(queue.findDisplaceable(arrival)).toBe(heavy[2]);
    const ownArrival = createEntry('a4', 'a', {deadlineMs: 2000});
    expect(queue.findDisplaceable(ownArrival)).toBeNull();
  });

  it('never starves an identity with one entry behind a flood of another', () => {
    const queue = createQueue([]);
    for (let index = 0; index < 20; index++) {
      queue.add(createEntry('flood', 'a', {deadlineMs: index}));
    }
    queue.add(createEntry('single', 'b', {deadlineMs: 1e9}));
    let served = 0;
    for (;;) {
      const entry = serveNext(queue);
      served++;
      if (entry?.name === 'single') {
        break;
      }
      queue.add(createEntry('flood', 'a', {deadlineMs: served}));
      expect(served).toBeLessThan(3);
    }
  });

  it('bounds the difference in work of two identities with queued entries', () => {
    const identity = fc.constantFrom('a', 'b', 'c');
    const work = fc.integer({min: 1, max: 50});
    fc.assert(
      fc.property(
        fc.array(fc.tuple(identity, work), {minLength: 1, maxLength: 60}),
        pairs => {
          const queue = createQueue(
            pairs.map(([name, workMs]) => createEntry(name, name, {workMs})),
          );
          const used = new Map<string, number>();
          const left = new Map<string, number>();
          for (const [name] of pairs) {
            used.set(name, 0);
            left.set(name, (left.get(name) ?? 0) + 1);
          }
          for (;;) {
            const entry = serveNext(queue);
            if (entry === null) {
              break;
            }
            const {name, workMs} = entry;
            used.set(name, (used.get(name) ?? 0) + workMs);
            left.set(name, (left.get(name) ?? 0) - 1);
            const waiting = [...used].filter(([key]) => left.get(key) !== 0);
            const works = waiting.map(([, value]) => value);
            // The bound of start-time fair queueing: one entry of each.
            expect(Math.max(...works) - Math.min(...works)).toBeLessThanOrEqual(
              works.length < 2 ? 0 : 100,
            );
          }
          expect(queue.length).toBe(0);
        },
      ),
      {seed: 71, numRuns: 200},
    );
  });

  it('reports exactly the entries that are served first as ahead', () => {
    const entry = fc.record({
      identity: fc.constantFrom('a', 'b', 'c'),
      priority: fc.constantFrom<RequestPriority>('booking', 'normal', 'lookup'),
      deadlineMs: fc.integer({min: 1, max: 1000}),
      workMs: fc.integer({min: 1, max: 50}),
    });
    fc.assert(
      fc.property(
        fc.uniqueArray(entry, {
          maxLength: 30,
          selector: ({deadlineMs}) => deadlineMs,
        }),
        fc.nat(10),
        (records, servedCount) => {
          const queue = createQueue(
            records.map((record, index) =>
              createEntry(String(index), record.identity, record),
            ),
          );
          for (let index = 0; index < servedCount; index++) {
            serveNext(queue);
          }
          const order = [...queue.getAll()];
          for (const [index, queued] of order.entries()) {
            const ahead = queue.getAhead(queued);
            expect(new Set(ahead)).toEqual(new Set(order.slice(0, index)));
          }
        },
      ),
      {seed: 72, numRuns: 300},
    );
  });
});
