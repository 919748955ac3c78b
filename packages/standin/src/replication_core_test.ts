import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {describe, expect, it} from 'vitest';
import {ReplicationCore} from './replication_core.js';
import type {
  AppendMessage,
  ReplicationEffect,
  ReplicationMessage,
} from './replication_message.js';

type Core = ReplicationCore<string>;
type Sent = Extract<ReplicationEffect<string>, {kind: 'send'}>;

const MEMBERS = ['a', 'b', 'c'];

function createGroup(lagMs = 0) {
  const clock = VirtualClock.create();
  const cores = new Map<string, Core>();
  for (const backendServer of MEMBERS) {
    const peers = MEMBERS.filter(member => member !== backendServer);
    const getReplicationLagMs = () => lagMs;
    cores.set(
      backendServer,
      ReplicationCore.create({
        backendServer,
        peers,
        clock,
        getReplicationLagMs,
      }),
    );
  }
  const get = (name: string): Core => cores.get(name) as Core;
  get('a').raiseTerm(1, 'first');
  get('a').promote(1, 'first');
  return {clock, cores, get};
}

type Group = ReturnType<typeof createGroup>;

function takeSent(core: Core): readonly Sent[] {
  return core.takeEffects().filter(effect => effect.kind === 'send');
}

/** Runs ten rounds of ticks and deliveries between the given members. */
function exchange(group: Group, members: readonly string[] = MEMBERS): void {
  for (let round = 0; round < 10; round++) {
    for (const member of members) {
      group.get(member).handleTick();
      for (const {to, message} of takeSent(group.get(member))) {
        if (members.includes(to)) {
          group.get(to).handleMessage(message);
        }
      }
    }
  }
}

function getBodies(core: Core): readonly string[] {
  const bodies: string[] = [];
  for (let position = 1; position <= core.getEnd().position; position++) {
    const body = core.getLog().getRecord(position)?.body;
    bodies.push(body?.kind === 'change' ? body.change : 'start');
  }
  return bodies;
}

describe('ReplicationCore terms', () => {
  it('rejects a lower term, and another claim for its current term', () => {
    const {get} = createGroup();
    expect(get('b').raiseTerm(5, 'x')).toBe(true);
    expect(get('b').raiseTerm(4, 'z')).toBe(false);
    expect(get('b').raiseTerm(5, 'y')).toBe(false);
    expect(get('b').raiseTerm(5, 'x')).toBe(true);
  });

  it('promotes only under the claim that raised its term', () => {
    const {get} = createGroup();
    get('b').raiseTerm(5, 'x');
    expect(get('b').promote(5, 'y')).toBe(false);
    expect(get('b').promote(4, 'x')).toBe(false);
    expect(get('b').promote(5, 'x')).toBe(true);
    expect(get('b').getEnd()).toEqual({term: 5, position: 1});
  });

  it('appends only one term start when promoted twice', () => {
    const {get} = createGroup();
    const end = get('a').getEnd();
    expect(get('a').promote(1, 'first')).toBe(true);
    expect(get('a').getEnd()).toEqual(end);
  });

  it('does not promote a replica that follows a primary of the same term', () => {
    const group = createGroup();
    exchange(group);
    expect(group.get('b').promote(1, 'first')).toBe(false);
  });

  it('demotes a primary to a replica without a primary when its term is raised', () => {
    const {get} = createGroup();
    get('a').raiseTerm(2, 'x');
    expect(get('a').getStatus()).toMatchObject({
      role: 'replica',
      term: 2,
      primary: null,
    });
  });

  it('does not demote a primary within its own term', () => {
    const {get} = createGroup();
    expect(get('a').follow(1, 'first', 'b')).toBe(false);
    expect(get('a').getRole()).toBe('primary');
  });

  it('keeps its term, claim, role and log across a restart', () => {
    const {get} = createGroup();
    get('a').appendChange('x');
    get('a').restart();
    expect(get('a').getStatus()).toMatchObject({
      role: 'primary',
      term: 1,
      claimId: 'first',
      position: {term: 1, position: 2},
    });
  });
});

describe('ReplicationCore replication', () => {
  it('reaches a majority with the primary and one of two replicas', () => {
    const group = createGroup();
    const position = group.get('a').appendChange('x');
    expect(group.get('a').getMajorityPosition()).toEqual({
      term: 0,
      position: 0,
    });
    exchange(group, ['a', 'b']);
    expect(group.get('a').getMajorityPosition()).toEqual(position);
  });

  it('accepts no records from the primary of an older term', () => {
    const group = createGroup();
    exchange(group);
    group.get('b').raiseTerm(2, 'x');
    group.get('c').raiseTerm(2, 'x');
    const appended = group.get('a').appendChange('late');
    exchange(group);
    expect(group.get('a').getMajorityPosition().position).toBeLessThan(
      appended.position,
    );
    expect(getBodies(group.get('b'))).not.toContain('late');
  });

  it('truncates the conflicting records of an old primary, last first', () => {
    const group = createGroup();
    exchange(group);
    group.get('a').appendChange('lost-1');
    group.get('a').appendChange('lost-2');
    group.get('b').raiseTerm(2, 'x');
    group.get('c').raiseTerm(2, 'x');
    group.get('b').promote(2, 'x');
    group.get('b').appendChange('kept');
    exchange(group, ['b', 'c']);
    group.clock.advance(100);
    const undone: string[] = [];
    for (let round = 0; round < 10; round++) {
      group.get('b').handleTick();
      for (const {to, message} of takeSent(group.get('b'))) {
        group.get(to).handleMessage(message);
      }
      for (const effect of group.get('a').takeEffects()) {
        if (effect.kind === 'undoRecord') {
          const {body} = effect.record;
          undone.push(body.kind === 'change' ? body.change : 'start');
        }
        if (effect.kind === 'send') {
          group.get(effect.to).handleMessage(effect.message);
        }
      }
      group.clock.advance(100);
    }
    expect(undone).toEqual(['lost-2', 'lost-1']);
    expect(getBodies(group.get('a'))).toEqual(['start', 'start', 'kept']);
  });

  it('does not truncate the log on a duplicate of an older message', () => {
    const group = createGroup();
    group.get('a').appendChange('x');
    group.get('a').handleTick();
    const earlySend = takeSent(group.get('a')).find(sent => sent.to === 'b');
    group.get('a').appendChange('y');
    exchange(group);
    group
      .get('b')
      .handleMessage(earlySend?.message as ReplicationMessage<string>);
    expect(getBodies(group.get('b'))).toEqual(['start', 'x', 'y']);
  });

  it('confirms the matching position, not the end of a longer log', () => {
    const group = createGroup();
    group.get('a').appendChange('x');
    group.get('a').appendChange('y');
    exchange(group, ['a', 'b']);
    group.get('b').takeEffects();
    const heartbeat: AppendMessage<string> = {
      kind: 'append',
      from: 'c',
      term: 2,
      claimId: 'z',
      sequence: 1,
      previous: {term: 1, position: 1},
      records: [],
      heldByAll: 0,
    };
    group.get('b').handleMessage(heartbeat);
    expect(takeSent(group.get('b'))[0]?.message).toMatchObject({
      kind: 'acknowledge',
      confirmed: {term: 1, position: 1},
    });
  });

  it('resends lost records after a heartbeat reveals the gap', () => {
    const group = createGroup();
    exchange(group);
    group.get('a').appendChange('x');
    group.get('a').handleTick();
    takeSent(group.get('a'));
    group.clock.advance(100);
    exchange(group);
    expect(getBodies(group.get('b'))).toEqual(['start', 'x']);
  });

  it('delays records by the configured lag of a replica', () => {
    const group = createGroup(2000);
    group.get('a').appendChange('x');
    exchange(group);
    expect(getBodies(group.get('b'))).toEqual([]);
    group.clock.advance(2000);
    exchange(group);
    expect(getBodies(group.get('b'))).toEqual(['start', 'x']);
  });

  it('counts no majority for records of an older term before one of its own term', () => {
    const group = createGroup(2000);
    group.get('a').appendChange('x');
    exchange(group);
    group.clock.advance(2000);
    exchange(group);
    group.get('b').raiseTerm(2, 'x');
    group.get('b').promote(2, 'x');
    exchange(group, ['b', 'c']);
    expect(group.get('b').getMajorityPosition()).toEqual({
      term: 0,
      position: 0,
    });
  });
});

describe('ReplicationCore confirmation', () => {
  it('confirms its term only by responses to messages sent after the request', () => {
    const group = createGroup();
    exchange(group);
    group.clock.advance(100);
    group.get('a').handleTick();
    const earlierSends = takeSent(group.get('a'));
    const ticket = group.get('a').startConfirmation();
    for (const {to, message} of earlierSends) {
      group.get(to).handleMessage(message);
      for (const response of takeSent(group.get(to))) {
        group.get('a').handleMessage(response.message);
      }
    }
    const isConfirmed = () =>
      group
        .get('a')
        .takeEffects()
        .some(
          effect => effect.kind === 'termConfirmed' && effect.ticket === ticket,
        );
    expect(isConfirmed()).toBe(false);
    group.get('a').handleTick();
    for (const {to, message} of takeSent(group.get('a'))) {
      group.get(to).handleMessage(message);
      for (const response of takeSent(group.get(to))) {
        group.get('a').handleMessage(response.message);
      }
    }
    expect(isConfirmed()).toBe(true);
  });
});
