import {beforeEach, describe, expect, it} from 'vitest';
import type {CallerStatement} from '../statement/caller_statement.js';
import type {StatementReply} from '../statement/statement_answer.js';
import {SessionWorld} from '../testing/session_world.js';
import {advanceClock, settlePromises} from '../testing/settle.js';

const READ: CallerStatement = {kind: 'read', text: 'READ a'};
const WRITE: CallerStatement = {kind: 'write', text: 'WRITE a x'};
const BEGIN: CallerStatement = {kind: 'begin', isReadOnly: false};
const BEGIN_READ: CallerStatement = {kind: 'begin', isReadOnly: true};
const COMMIT: CallerStatement = {kind: 'commit'};
const ROLLBACK: CallerStatement = {kind: 'rollback'};

function errorKind(reply: StatementReply): string | null {
  return reply.result.kind === 'error' ? reply.result.error.kind : null;
}

describe('CallerSession', () => {
  let world: SessionWorld;

  beforeEach(() => {
    world = SessionWorld.create();
    world.grantLease();
  });

  function listRunServers(): readonly string[] {
    return world.backend.runs.map(({backendServer}) => backendServer);
  }

  it('sends strict reads and writes to the primary with their request ids', async () => {
    const session = world.open('strict');
    const read = await world.run(session, READ, 'id-1');
    const write = await world.run(session, WRITE, 'id-2');
    expect(read.result).toEqual({kind: 'complete', signature: 'sig-id-1'});
    expect(write.result).toEqual({kind: 'complete', signature: 'sig-id-2'});
    expect(listRunServers()).toEqual(['p', 'p']);
  });

  it('refuses strict reads without a lease', async () => {
    const session = world.open('strict');
    world.wallClock.step(5_000);
    expect(errorKind(await world.run(session, READ))).toBe('unavailable');
    expect(world.backend.runs).toEqual([]);
  });

  it('runs writes without a lease, since fencing makes them safe', async () => {
    const session = world.open('strict');
    world.wallClock.step(5_000);
    expect((await world.run(session, WRITE)).result.kind).toBe('complete');
  });

  it('runs bounded-staleness reads on the primary until a recent position is known, then on a replica', async () => {
    const session = world.open('age');
    await world.run(session, READ);
    world.clock.advance(500);
    await world.run(session, READ);
    const [first, second] = listRunServers();
    expect(first).toBe('p');
    expect(second).not.toBe('p');
    expect(world.backend.runs[1]?.requiredPosition).not.toBeNull();
  });

  it('requires the commit of the same session from the server of a later read', async () => {
    const session = world.open('session');
    await world.run(session, WRITE);
    await world.run(session, READ);
    const floor = world.backend.runs.at(-1)?.requiredPosition;
    expect(floor).toEqual({term: 1, position: 1});
  });

  it('retries a read on another server when a replica has not reached the position', async () => {
    const session = world.open('age');
    await world.run(session, READ);
    world.backend.plan('r1', {kind: 'reject', rejection: 'positionNotReached'});
    world.backend.plan('r2', {kind: 'reject', rejection: 'positionNotReached'});
    const reply = await world.run(session, READ);
    expect(reply.result.kind).toBe('complete');
    expect(listRunServers().at(-1)).toBe('p');
  });

  it('retries a read whose connection was lost', async () => {
    const session = world.open('strict');
    world.backend.plan('p', {kind: 'runAndLose'});
    expect((await world.run(session, READ)).result.kind).toBe('complete');
  });

  it('never retries a write that may have run', async () => {
    const session = world.open('strict');
    world.backend.plan('p', {kind: 'runAndLose'});
    expect(errorKind(await world.run(session, WRITE))).toBe('outcomeUnknown');
    expect(world.backend.committedWrites).toHaveLength(1);
  });

  it('retries a write that is known not to have run', async () => {
    const session = world.open('strict');
    world.backend.plan('p', {kind: 'reject', rejection: 'notPrimary'});
    expect((await world.run(session, WRITE)).result.kind).toBe('complete');
    expect(world.backend.committedWrites).toHaveLength(1);
  });

  it('acknowledges no write of a term that was released', async () => {
    const session = world.open('strict');
    await world.run(session, READ);
    const reply = session.handle({
      requestId: 'w',
      statement: WRITE,
      receivedAtMs: world.clock.nowMs(),
    });
    await settlePromises();
    world.group.release(2, 1);
    await advanceClock(world.clock, 100);
    expect(errorKind(await reply)).toBe('outcomeUnknown');
  });

  it('keeps a transaction on one connection and commits it once', async () => {
    const session = world.open('strict');
    await world.run(session, BEGIN);
    await world.run(session, WRITE);
    const commit = await world.run(session, COMMIT);
    expect(commit.transactionState).toBe('idle');
    expect(world.backend.committedWrites).toHaveLength(1);
    expect(new Set(listRunServers())).toEqual(new Set(['p']));
  });

  it('runs a read-only transaction of bounded staleness on a replica', async () => {
    const session = world.open('age');
    await world.run(session, READ);
    world.clock.advance(500);
    await world.run(session, BEGIN_READ);
    await world.run(session, READ);
    await world.run(session, COMMIT);
    expect(listRunServers().slice(1)).not.toContain('p');
  });

  it('reports a transaction that lost its connection before the commit as lost', async () => {
    const session = world.open('strict');
    await world.run(session, BEGIN);
    world.backend.plan('p', {kind: 'runAndLose'});
    const reply = await world.run(session, WRITE);
    expect(errorKind(reply)).toBe('transactionLost');
    expect(reply.transactionState).toBe('failed');
    expect((await world.run(session, ROLLBACK)).transactionState).toBe('idle');
    expect(world.backend.committedWrites).toEqual([]);
  });

  it('reports an unknown outcome when the connection is lost during a commit of writes', async () => {
    const session = world.open('strict');
    await world.run(session, BEGIN);
    await world.run(session, WRITE);
    world.backend.plan('p', {kind: 'runAndLose'});
    expect(errorKind(await world.run(session, COMMIT))).toBe('outcomeUnknown');
  });

  it('reports the transaction as lost when the connection is lost during a commit without writes', async () => {
    const session = world.open('strict');
    await world.run(session, BEGIN);
    await world.run(session, READ);
    world.backend.plan('p', {kind: 'runAndLose'});
    expect(errorKind(await world.run(session, COMMIT))).toBe('transactionLost');
  });

  it('rolls back an open transaction when the session is closed', async () => {
    const session = world.open('strict');
    await world.run(session, BEGIN);
    await world.run(session, WRITE);
    session.close();
    const other = world.open('strict');
    await world.run(other, READ);
    expect(world.backend.committedWrites).toEqual([]);
    expect(world.backend.runs.at(-1)?.isInTransaction).toBe(false);
  });

  it('rolls back a transaction that exceeds the idle timeout and reports it as lost', async () => {
    const session = world.open('strict');
    await world.run(session, BEGIN);
    await world.run(session, WRITE);
    world.clock.advance(3_100);
    const reply = await world.run(session, COMMIT);
    expect(errorKind(reply)).toBe('transactionLost');
    expect(world.backend.committedWrites).toEqual([]);
  });

  it('completes an open transaction whose route was removed, then refuses statements', async () => {
    const session = world.open('strict');
    await world.run(session, BEGIN);
    world.dropRoute('strict');
    await world.run(session, WRITE);
    expect((await world.run(session, COMMIT)).result.kind).toBe('complete');
    expect(errorKind(await world.run(session, READ))).toBe('unknownDatabase');
  });

  it('executes the statement that the same session has prepared under a name', async () => {
    const one = world.open('strict');
    const two = world.open('strict');
    const prepare = (shape: string): CallerStatement => ({
      kind: 'prepare',
      name: 's',
      prepared: {access: 'read', shape},
    });
    const execute: CallerStatement = {
      kind: 'execute',
      name: 's',
      argumentText: 'a',
    };
    await world.run(one, prepare('q1'));
    await world.run(two, prepare('q2'));
    await world.run(one, execute);
    await world.run(two, execute);
    const shapes = world.backend.runs.map(({shape}) => shape?.shape);
    expect(shapes).toEqual(['q1', 'q2']);
  });

  it('does not expose the values of one session to another', async () => {
    const one = world.open('strict');
    const two = world.open('strict');
    await world.run(one, {kind: 'setValue', name: 'a', value: '1'});
    await world.run(one, READ);
    await world.run(two, READ);
    await world.run(one, READ);
    const values = world.backend.runs.map(run => run.values.get('a'));
    expect(values).toEqual(['1', undefined, '1']);
  });

  it('refuses a write at once while earlier writes are not acknowledged', async () => {
    const stalled = world.open('strict');
    world.backend.plan('p', {kind: 'silence'}, {kind: 'silence'});
    for (const requestId of ['w1', 'w2']) {
      const receivedAtMs = world.clock.nowMs();
      void stalled.handle({requestId, statement: WRITE, receivedAtMs});
      await advanceClock(world.clock, 470);
    }
    const session = world.open('strict');
    const startMs = world.clock.nowMs();
    const reply = await world.run(session, WRITE);
    expect(errorKind(reply)).toBe('unavailable');
    expect(world.clock.nowMs() - startMs).toBeLessThan(50);
  });
});
