import {describe, expect, it} from 'vitest';
import {DispatchSlots} from './dispatch_slots.js';
import type {QueuedEntry} from './request_queue.js';

const ENTRY: QueuedEntry = {
  priority: 'normal',
  identity: 'a',
  deadlineMs: 100,
  workMs: 10,
  isReplaceable: false,
};

function create(active: number, reservedSlots = 0): DispatchSlots {
  const getActiveLeases = () => active;
  return DispatchSlots.create({slots: 3, reservedSlots, getActiveLeases});
}

describe('DispatchSlots', () => {
  it('counts entries that wait for a new connection', () => {
    const slots = create(1);
    expect(slots.advance(ENTRY)).toBe(true);
    slots.claim();
    slots.claim();
    expect(slots.advance(ENTRY)).toBe(false);
  });

  it('leaves reserved slots to irreplaceable entries', () => {
    const slots = create(2, 1);
    expect(slots.advance(ENTRY)).toBe(true);
    expect(slots.mayUse({...ENTRY, isReplaceable: true})).toBe(false);
    expect(slots.mayUse(ENTRY)).toBe(true);
  });

  it('gives the slot of a waiting entry to others of its priority', () => {
    const slots = create(2);
    slots.advance(ENTRY);
    slots.awaitRelease(ENTRY);
    expect(slots.advance(ENTRY)).toBe(true);
    expect(slots.mayUse(ENTRY)).toBe(false);
    expect(slots.mayUse({...ENTRY, identity: 'b'})).toBe(true);
  });

  it('does not give the slot of a waiting entry to less urgent ones', () => {
    const slots = create(2);
    slots.advance(ENTRY);
    slots.awaitRelease(ENTRY);
    expect(slots.advance({...ENTRY, priority: 'lookup'})).toBe(false);
  });
});
