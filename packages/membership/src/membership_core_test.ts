import {SeededRandom} from '@filbertrun/base/random_source.js';
import {describe, expect, it} from 'vitest';
import type {MemberRecord} from './member.js';
import {
  createMembershipState,
  createMessage,
  reduceMembership,
  type MembershipEvent,
  type MembershipState,
} from './membership_core.js';

const random = SeededRandom.create(1);

function createRecord(
  index: number,
  changes: Partial<MemberRecord> = {},
): MemberRecord {
  return {
    entryVm: `entry-${index}`,
    availabilityZone: `zone-${index % 3}`,
    peerUrl: `http://10.0.0.${index}:7000`,
    incarnation: 100,
    state: 'live',
    ...changes,
  };
}

function handle(
  state: MembershipState,
  ...events: readonly MembershipEvent[]
): MembershipState {
  let next = state;
  for (const event of events) {
    next = reduceMembership(next, event, random).state;
  }
  return next;
}

function receive(
  nowMs: number,
  sender: MemberRecord,
  heartbeatSentAtMs: number | null = null,
  updates: readonly MemberRecord[] = [],
): MembershipEvent {
  const message = {sender, membersDigest: 0, updates};
  return {kind: 'messageReceived', nowMs, message, heartbeatSentAtMs};
}

const START = createMembershipState(createRecord(1), 0);

describe('membership', () => {
  it('joins on the first response of a neighbour', () => {
    const state = handle(START, receive(10, createRecord(2), 5));
    expect(state.joinedAtMs).toBe(10);
  });

  it('does not join on a response to a heartbeat from before a stall', () => {
    const joined = handle(START, receive(10, createRecord(2), 5));
    const stalled = handle(joined, {
      kind: 'stallDetected',
      nowMs: 10_000,
      stalledForMs: 8000,
    });
    expect(stalled.joinedAtMs).toBeNull();
    const stale = handle(stalled, receive(10_001, createRecord(2), 1900));
    expect(stale.joinedAtMs).toBeNull();
    const fresh = handle(stale, receive(10_020, createRecord(2), 10_010));
    expect(fresh.joinedAtMs).toBe(10_020);
  });

  it('probes one dead member every two seconds', () => {
    const dead = createRecord(2, {state: 'dead'});
    let state = handle(
      START,
      receive(10, createRecord(2)),
      receive(20, createRecord(3), null, [dead]),
    );
    const probedAtMs: number[] = [];
    for (let nowMs = 500; nowMs <= 6_500; nowMs += 500) {
      const step = reduceMembership(state, {kind: 'tick', nowMs}, random);
      state = step.state;
      const isProbed = step.commands.some(
        command =>
          command.kind === 'sendHeartbeat' && command.entryVm === dead.entryVm,
      );
      if (isProbed) {
        probedAtMs.push(nowMs);
      }
    }
    expect(probedAtMs).toEqual([2_000, 4_000, 6_000]);
  });

  it('refutes its own death with a higher incarnation', () => {
    const dead = createRecord(1, {state: 'dead', incarnation: 105});
    const state = handle(START, receive(10, createRecord(2), null, [dead]));
    expect(state.self).toMatchObject({state: 'live', incarnation: 106});
  });

  it('ignores records of its earlier incarnations', () => {
    const dead = createRecord(1, {state: 'dead', incarnation: 99});
    const state = handle(START, receive(10, createRecord(2), null, [dead]));
    expect(state.self.incarnation).toBe(100);
  });

  it('includes the record of a receiver declared dead, so that it can refute it', () => {
    const dead = createRecord(2, {state: 'dead'});
    const state = handle(
      START,
      receive(10, createRecord(2)),
      receive(20, createRecord(3), null, [dead]),
    );
    const {message} = createMessage(state, 'entry-2');
    expect(message.updates).toContainEqual(dead);
  });

  it('ignores the death of an older incarnation of a replaced VM', () => {
    const newIncarnation = createRecord(2, {incarnation: 200});
    const oldDeadRecord = createRecord(2, {incarnation: 150, state: 'dead'});
    const state = handle(
      START,
      receive(10, newIncarnation),
      receive(20, createRecord(3), null, [oldDeadRecord]),
    );
    expect(state.table.get('entry-2')?.record).toEqual(newIncarnation);
  });

  it('does not gossip records from the platform list', () => {
    const records = [2, 3, 4].map(index =>
      createRecord(index, {incarnation: 0}),
    );
    const state = handle(START, {kind: 'recordsReceived', nowMs: 10, records});
    expect(createMessage(state, 'entry-2').message.updates).toEqual([]);
  });

  it('sends no heartbeat to a neighbour that has just sent one', () => {
    const joined = handle(START, receive(10, createRecord(2), 5));
    const asked = handle(joined, receive(600, createRecord(2)));
    const step = reduceMembership(asked, {kind: 'tick', nowMs: 700}, random);
    expect(step.commands).toEqual([]);
  });

  it('holds at most 2000 members', () => {
    const records = Array.from({length: 2100}, (_, index) =>
      createRecord(index + 2),
    );
    const state = handle(START, {kind: 'recordsReceived', nowMs: 10, records});
    expect(state.table.size).toBe(2000);
  });
});
