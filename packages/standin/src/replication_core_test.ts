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

/** Delivers messages between the named members until none is sent. */
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
  it('refuses a lower term and another claim for its term', () => {
    const {get} = createGroup();
    expect(get('b').raiseTerm(5, 'x')).toBe(true);
    expect(get('b').raiseTerm(4, 'z')).toBe(false);
    expect(get('b').raiseTerm(5, 'y')).toBe(false);
    expect(get('b').raiseTerm(5, 'x')).toBe(true);
  });

  it('promotes only under the claim that raised it', () => {
    const {get} = createGroup();
    get('b').raiseTerm(5, 'x');
    expect(get('b').promote(5, 'y')).toBe(false);
    expect(get('b').promote(4, 'x')).toBe(false);
    expect(get('b').promote(5, 'x')).toBe(true);
    expect(get('b').getEnd()).toEqual({term: 5, position: 1});
  });

  it('does not append a second term start when promoted twice', () => {
    const {get} = createGroup();
    const end = get('a').getEnd();
    expect(get('a').promote(1, 'first')).toBe(true);
    expect(get('a').getEnd()).toEqual(end);
  });

  it('never promotes a replica that follows a primary of the same term', () => {
    const group = createGroup();
    exchange(group);
    expect(group.get('b').promote(1, 'first')).toBe(false);
  });

  it('turns a raised primary into a replica without a primary', () => {
    const {get} = createGroup();
    get('a').raiseTerm(2, 'x');
    expect(get('a').getStatus()).toMatchObject({
      role: 'replica',
      term: 2,
      primary: null,
    });
  });

  it('does not depose a primary within its own term', () => {
    const {get} = createGroup();
    expect(get('a').follow(1, 'first', 'b')).toBe(false);
    expect(get('a').getRole()).toBe('primary');
  });

  it('keeps term, claim, role and log over a restart', () => {
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
  it('counts a majority from the primary and one replica', () => {
    const group = createGroup();
    const place = group.get('a').appendChange('x');
    expect(group.get('a').getMajority()).toEqual({term: 0, position: 0});
    exchange(group, ['a', 'b']);
    expect(group.get('a').getMajority()).toEqual(place);
  });

  it('takes nothing from an older primary', () => {
    const group = createGroup();
    exchange(group);
    group.get('b').raiseTerm(2, 'x');
    group.get('c').raiseTerm(2, 'x');
    const place = group.get('a').appendChange('late');
    exchange(group);
    expect(group.get('a').getMajority().position).toBeLessThan(place.position);
    expect(getBodies(group.get('b'))).not.toContain('late');
  });

  it('cuts the tail of an old primary and undoes it last first', () => {
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

  it('does not cut on a duplicate of an older message', () => {
    const group = createGroup();
    group.get('a').appendChange('x');
    group.get('a').handleTick();
    const early = takeSent(group.get('a')).find(sent => sent.to === 'b');
    group.get('a').appendChange('y');
    exchange(group);
    group.get('b').handleMessage(early?.message as ReplicationMessage<string>);
    expect(getBodies(group.get('b'))).toEqual(['start', 'x', 'y']);
  });

  it('confirms the place that matches, not the end of a longer log', () => {
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

  it('finds lost records again through a heartbeat', () => {
    const group = createGroup();
    exchange(group);
    group.get('a').appendChange('x');
    group.get('a').handleTick();
    takeSent(group.get('a'));
    group.clock.advance(100);
    exchange(group);
    expect(getBodies(group.get('b'))).toEqual(['start', 'x']);
  });

  it('holds records back for the lag of a replica', () => {
    const group = createGroup(2000);
    group.get('a').appendChange('x');
    exchange(group);
    expect(getBodies(group.get('b'))).toEqual([]);
    group.clock.advance(2000);
    exchange(group);
    expect(getBodies(group.get('b'))).toEqual(['start', 'x']);
  });

  it('does not count records of an older term before one of its own', () => {
    const group = createGroup(2000);
    group.get('a').appendChange('x');
    exchange(group);
    group.clock.advance(2000);
    exchange(group);
    group.get('b').raiseTerm(2, 'x');
    group.get('b').promote(2, 'x');
    exchange(group, ['b', 'c']);
    expect(group.get('b').getMajority()).toEqual({term: 0, position: 0});
  });
});

describe('ReplicationCore confirmation', () => {
  it('confirms its term by an answer to a message sent after the call', () => {
    const group = createGroup();
    exchange(group);
    group.clock.advance(100);
    group.get('a').handleTick();
    const old = takeSent(group.get('a'));
    const ticket = group.get('a').startConfirmation();
    for (const {to, message} of old) {
      group.get(to).handleMessage(message);
      for (const answer of takeSent(group.get(to))) {
        group.get('a').handleMessage(answer.message);
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
      for (const answer of takeSent(group.get(to))) {
        group.get('a').handleMessage(answer.message);
      }
    }
    expect(isConfirmed()).toBe(true);
  });
});
