import {failure} from '@filbertrun/base/result.js';
import {beforeEach, describe, expect, it} from 'vitest';
import type {CallerStatement} from '../statement/caller_statement.js';
import type {StatementReply} from '../statement/statement_answer.js';
import {CallerSession} from './caller_session.js';
import {SessionTestHarness} from '../testing/session_test_harness.js';
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
  let harness: SessionTestHarness;

  beforeEach(() => {
    harness = SessionTestHarness.create();
    harness.grantLease();
  });

  function listRunServers(): readonly string[] {
    return harness.backend.runs.map(({backendServer}) => backendServer);
  }

  it('sends strict reads and writes to the primary with their request ids', async () => {
    const session = harness.open('strict');
    const read = await harness.run(session, READ, 'id-1');
    const write = await harness.run(session, WRITE, 'id-2');
    expect(read.result).toEqual({kind: 'complete', signature: 'sig-id-1'});
    expect(write.result).toEqual({kind: 'complete', signature: 'sig-id-2'});
    expect(listRunServers()).toEqual(['p', 'p']);
  });

  it('refuses strict reads without a lease', async () => {
    const session = harness.open('strict');
    harness.wallClock.step(5_000);
    expect(errorKind(await harness.run(session, READ))).toBe('unavailable');
    expect(harness.backend.runs).toEqual([]);
  });

  // The failover leader asks only registered proxies for a release.
  it('runs no write after a suspension until its registration was read again', async () => {
    const session = harness.open('strict');
    harness.wallClock.step(5_000);
    const refused = await harness.run(session, WRITE);
    expect(refused.result.kind).toBe('error');
    expect(harness.backend.runs).toEqual([]);
    harness.grantLease();
    expect((await harness.run(session, WRITE)).result.kind).toBe('complete');
  });

  it('runs bounded-staleness reads on the primary until a recent position is known, then on a replica', async () => {
    const session = harness.open('age');
    await harness.run(session, READ);
    harness.clock.advance(500);
    await harness.run(session, READ);
    const [first, second] = listRunServers();
    expect(first).toBe('p');
    expect(second).not.toBe('p');
    expect(harness.backend.runs[1]?.requiredPosition).not.toBeNull();
  });

  it('requires the commit of the same session from the server of a later read', async () => {
    const session = harness.open('session');
    await harness.run(session, WRITE);
    await harness.run(session, READ);
    const floor = harness.backend.runs.at(-1)?.requiredPosition;
    expect(floor).toEqual({term: 1, position: 1});
  });

  it('retries a read on another server when a replica has not reached the position', async () => {
    const session = harness.open('age');
    await harness.run(session, READ);
    harness.backend.plan('r1', {
      kind: 'reject',
      rejection: 'positionNotReached',
    });
    harness.backend.plan('r2', {
      kind: 'reject',
      rejection: 'positionNotReached',
    });
    const reply = await harness.run(session, READ);
    expect(reply.result.kind).toBe('complete');
    expect(listRunServers().at(-1)).toBe('p');
  });

  it('retries a read whose connection was lost', async () => {
    const session = harness.open('strict');
    harness.backend.plan('p', {kind: 'runAndLose'});
    expect((await harness.run(session, READ)).result.kind).toBe('complete');
  });

  it('never retries a write that may have run', async () => {
    const session = harness.open('strict');
    harness.backend.plan('p', {kind: 'runAndLose'});
    expect(errorKind(await harness.run(session, WRITE))).toBe('outcomeUnknown');
    expect(harness.backend.committedWrites).toHaveLength(1);
  });

  it('retries a write that is known not to have run', async () => {
    const session = harness.open('strict');
    harness.backend.plan('p', {kind: 'reject', rejection: 'notPrimary'});
    expect((await harness.run(session, WRITE)).result.kind).toBe('complete');
    expect(harness.backend.committedWrites).toHaveLength(1);
  });

  it('acknowledges no write of a term that was released', async () => {
    const session = harness.open('strict');
    await harness.run(session, READ);
    const reply = session.handle({
      requestId: 'w',
      statement: WRITE,
      receivedAtMs: harness.clock.nowMs(),
    });
    await settlePromises();
    harness.group.release(2, 1);
    await advanceClock(harness.clock, 100);
    expect(errorKind(await reply)).toBe('outcomeUnknown');
  });

  it('keeps a transaction on one connection and commits it once', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    await harness.run(session, WRITE);
    const commit = await harness.run(session, COMMIT);
    expect(commit.transactionState).toBe('idle');
    expect(harness.backend.committedWrites).toHaveLength(1);
    expect(new Set(listRunServers())).toEqual(new Set(['p']));
  });

  // Guards against an acknowledged write of which no line tells the instance: a
  // commit has a request id of its own, which no routed statement carries.
  it('logs the instance and the position of a write and of a commit by request id', async () => {
    const session = harness.open('strict');
    await harness.run(session, WRITE, 'write');
    await harness.run(session, BEGIN, 'begin');
    await harness.run(session, WRITE, 'inside');
    await harness.run(session, COMMIT, 'commit');
    const acknowledged = harness.events.events.filter(
      ({kind}) => kind === 'writeAcknowledged',
    );
    const databaseGroup = 'group';
    const backendServer = 'p';
    expect(acknowledged).toEqual([
      {
        kind: 'writeAcknowledged',
        requestId: 'write',
        databaseGroup,
        backendServer,
        position: {term: 1, position: 1},
      },
      {
        kind: 'writeAcknowledged',
        requestId: 'commit',
        databaseGroup,
        backendServer,
        position: {term: 1, position: 2},
      },
    ]);
    expect(harness.events.events).toContainEqual(
      expect.objectContaining({
        kind: 'statementAnswered',
        requestId: 'commit',
        position: {term: 1, position: 2},
      }),
    );
  });

  it('logs no acknowledgement of a read, a rollback or a released term', async () => {
    const session = harness.open('strict');
    await harness.run(session, READ);
    await harness.run(session, BEGIN);
    await harness.run(session, WRITE);
    await harness.run(session, ROLLBACK);
    const reply = session.handle({
      requestId: 'w',
      statement: WRITE,
      receivedAtMs: harness.clock.nowMs(),
    });
    await settlePromises();
    harness.group.release(2, 1);
    await advanceClock(harness.clock, 100);
    await reply;
    const kinds = harness.events.events.map(({kind}) => kind);
    expect(kinds).not.toContain('writeAcknowledged');
  });

  it('runs a read-only transaction of bounded staleness on a replica', async () => {
    const session = harness.open('age');
    await harness.run(session, READ);
    harness.clock.advance(500);
    await harness.run(session, BEGIN_READ);
    await harness.run(session, READ);
    await harness.run(session, COMMIT);
    expect(listRunServers().slice(1)).not.toContain('p');
  });

  it('reports a transaction that lost its connection before the commit as lost', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    harness.backend.plan('p', {kind: 'runAndLose'});
    const reply = await harness.run(session, WRITE);
    expect(errorKind(reply)).toBe('transactionLost');
    expect(reply.transactionState).toBe('failed');
    expect((await harness.run(session, ROLLBACK)).transactionState).toBe(
      'idle',
    );
    expect(harness.backend.committedWrites).toEqual([]);
  });

  it('reports an unknown outcome when the connection is lost during a commit of writes', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    await harness.run(session, WRITE);
    harness.backend.plan('p', {kind: 'runAndLose'});
    expect(errorKind(await harness.run(session, COMMIT))).toBe(
      'outcomeUnknown',
    );
  });

  it('reports the transaction as lost when the connection is lost during a commit without writes', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    await harness.run(session, READ);
    harness.backend.plan('p', {kind: 'runAndLose'});
    expect(errorKind(await harness.run(session, COMMIT))).toBe(
      'transactionLost',
    );
  });

  it('rolls back an open transaction when the session is closed', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    await harness.run(session, WRITE);
    session.close();
    const other = harness.open('strict');
    await harness.run(other, READ);
    expect(harness.backend.committedWrites).toEqual([]);
    expect(harness.backend.runs.at(-1)?.isInTransaction).toBe(false);
  });

  // Guards against an exception when a response arrives as the caller leaves,
  // which at a holder ended the stream of all callers of a follower.
  it('handles a response that arrives after the session was closed', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    const reply = session.handle({
      requestId: 'w',
      statement: WRITE,
      receivedAtMs: harness.clock.nowMs(),
    });
    await settlePromises();
    session.close();
    await advanceClock(harness.clock, 10);
    expect(errorKind(await reply)).toBe('transactionLost');
    expect(harness.backend.committedWrites).toEqual([]);
  });

  it('rolls back a transaction that exceeds the idle timeout and reports it as lost', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    await harness.run(session, WRITE);
    harness.clock.advance(3_100);
    const reply = await harness.run(session, COMMIT);
    expect(errorKind(reply)).toBe('transactionLost');
    expect(harness.backend.committedWrites).toEqual([]);
  });

  it('completes an open transaction whose route was removed, then refuses statements', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    harness.removeRoute('strict');
    await harness.run(session, WRITE);
    expect((await harness.run(session, COMMIT)).result.kind).toBe('complete');
    expect(errorKind(await harness.run(session, READ))).toBe('unknownDatabase');
  });

  // A process with an old or no configuration refused what had been added since.
  it('does not deny that a database exists while its configuration may be out of date', async () => {
    const session = harness.open('strict');
    harness.removeRoute('strict');
    harness.hasCurrentConfiguration = false;
    const reply = await harness.run(session, READ);
    expect(reply.result).toMatchObject({
      kind: 'error',
      error: {kind: 'unavailable', retryAfterMs: 200},
    });
    expect(
      CallerSession.open(harness, {databaseName: 'added', apiKey: ''}),
    ).toEqual(failure({kind: 'unavailable', retryAfterMs: 200}));
    harness.hasCurrentConfiguration = true;
    expect(errorKind(await harness.run(session, READ))).toBe('unknownDatabase');
  });

  it('executes the statement that the same session has prepared under a name', async () => {
    const one = harness.open('strict');
    const two = harness.open('strict');
    const prepare = (definitionText: string): CallerStatement => ({
      kind: 'prepare',
      name: 's',
      prepared: {access: 'read', definitionText},
    });
    const execute: CallerStatement = {
      kind: 'execute',
      name: 's',
      argumentText: 'a',
    };
    await harness.run(one, prepare('q1'));
    await harness.run(two, prepare('q2'));
    await harness.run(one, execute);
    await harness.run(two, execute);
    const definitions = harness.backend.runs.map(
      ({preparedStatement}) => preparedStatement?.definitionText,
    );
    expect(definitions).toEqual(['q1', 'q2']);
  });

  it('does not expose the values of one session to another', async () => {
    const one = harness.open('strict');
    const two = harness.open('strict');
    await harness.run(one, {kind: 'setValue', name: 'a', value: '1'});
    await harness.run(one, READ);
    await harness.run(two, READ);
    await harness.run(one, READ);
    const values = harness.backend.runs.map(run => run.values.get('a'));
    expect(values).toEqual(['1', undefined, '1']);
  });

  it('refuses a write at once while earlier writes are not acknowledged', async () => {
    const stalled = harness.open('strict');
    harness.backend.plan('p', {kind: 'silence'}, {kind: 'silence'});
    for (const requestId of ['w1', 'w2']) {
      const receivedAtMs = harness.clock.nowMs();
      void stalled.handle({requestId, statement: WRITE, receivedAtMs});
      await advanceClock(harness.clock, 470);
    }
    const session = harness.open('strict');
    const startMs = harness.clock.nowMs();
    const reply = await harness.run(session, WRITE);
    expect(errorKind(reply)).toBe('unavailable');
    expect(harness.clock.nowMs() - startMs).toBeLessThan(50);
  });
});
