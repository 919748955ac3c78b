import {beforeEach, describe, expect, it} from 'vitest';
import type {CallerStatement} from '../statement/caller_statement.js';
import type {StatementReply} from '../statement/statement_answer.js';
import {
  ForwardingTestHarness,
  type HarnessHolder,
} from '../testing/forwarding_test_harness.js';
import {advanceClock} from '../testing/settle.js';

/** What a holder keeps for a follower, and when it releases it. */

const READ: CallerStatement = {kind: 'read', text: 'READ a'};
const WRITE: CallerStatement = {kind: 'write', text: 'WRITE a x'};
const BEGIN: CallerStatement = {kind: 'begin', isReadOnly: false};

describe('Forwarding', () => {
  let harness: ForwardingTestHarness;
  let first: HarnessHolder;

  beforeEach(() => {
    harness = ForwardingTestHarness.create();
    const [firstRanked] = harness.ranked;
    if (firstRanked === undefined) {
      throw new Error('The harness has no holder.');
    }
    first = firstRanked;
  });

  function advance(durationMs: number): Promise<void> {
    return advanceClock(harness.sessions.clock, durationMs);
  }

  /** Hands a statement to a session; the test advances the clock. */
  function start(
    statement: CallerStatement,
    session = harness.open('strict'),
  ): Promise<StatementReply> {
    const receivedAtMs = harness.sessions.clock.nowMs();
    return session.handle({requestId: 'id', statement, receivedAtMs});
  }

  function setAnswerTime(answerMs: number): void {
    harness.sessions.backend.answerTimesMs.set('p', answerMs);
  }

  function getPoolStatus() {
    return harness.sessions.group.getServer('p')?.pool.getStatus();
  }

  /** Delivers or loses what the first holder sends. */
  function setResponsesLost(isLost: boolean): void {
    for (const {holder} of first.channels) {
      holder.isDropping = isLost;
    }
  }

  // Guards against a shutdown that ends the stream while a write runs, so that
  // the outcome of the write is unknown.
  it('counts a single statement until its reply', async () => {
    setAnswerTime(40);
    const reply = start(WRITE);
    await advance(20);
    expect(first.forwarding.transactionCount).toBe(1);
    await advance(40);
    expect((await reply).result.kind).toBe('complete');
    expect(first.forwarding.transactionCount).toBe(0);
  });

  // Guards against a transaction that keeps a connection until its idle timeout.
  it('rolls back a transaction whose BEGIN was answered too late', async () => {
    setAnswerTime(980);
    const reply = start(BEGIN);
    await advance(970);
    setResponsesLost(true);
    await advance(30);
    expect(getPoolStatus()?.suspendedLeases).toBe(1);
    setResponsesLost(false);
    setAnswerTime(2);
    await advance(60);
    expect((await reply).result.kind).toBe('error');
    await advance(100);
    expect(getPoolStatus()?.suspendedLeases).toBe(0);
    expect(first.forwarding.transactionCount).toBe(0);
  });

  // Guards against a queue at the holder that is full of statements of callers
  // who have left.
  it('removes the statement of a caller that has left from the queue', async () => {
    harness.sessions.group.setMaxConnections(1);
    setAnswerTime(100);
    void start(WRITE);
    await advance(20);
    const session = harness.open('strict');
    const reply = start(WRITE, session);
    await advance(20);
    expect(getPoolStatus()?.queueLength).toBe(1);
    session.close();
    await advance(5);
    expect(getPoolStatus()?.queueLength).toBe(0);
    expect((await reply).result).toMatchObject({kind: 'error'});
    await advance(500);
    expect(harness.sessions.backend.runs).toHaveLength(1);
  });

  it('rolls back a transaction whose caller leaves during its BEGIN', async () => {
    setAnswerTime(40);
    const session = harness.open('strict');
    const reply = start(BEGIN, session);
    await advance(20);
    session.close();
    await advance(200);
    await reply;
    expect(getPoolStatus()?.suspendedLeases).toBe(0);
    expect(first.forwarding.transactionCount).toBe(0);
  });

  // Guards against a transaction that is opened for a stream that has ended.
  it('rolls back a transaction whose stream ends during its BEGIN', async () => {
    setAnswerTime(40);
    const session = harness.open('strict');
    const reply = start(BEGIN, session);
    await advance(20);
    first.channels[0]?.holder.reset();
    await advance(200);
    expect((await reply).result.kind).toBe('complete');
    expect(first.forwarding.transactionCount).toBe(0);
    // The transaction that was begun at the next holder.
    expect(getPoolStatus()?.suspendedLeases).toBe(1);
    session.close();
    await advance(200);
    expect(getPoolStatus()?.suspendedLeases).toBe(0);
  });

  // Guards against an abandoned statement whose result ends the stream with the
  // operations of other callers.
  it('keeps the stream when a caller leaves during a statement of a transaction', async () => {
    const session = harness.open('strict');
    const begun = start(BEGIN, session);
    await advance(20);
    await begun;
    setAnswerTime(40);
    const reply = start(WRITE, session);
    await advance(20);
    session.close();
    await advance(200);
    await reply;
    expect(first.channels).toHaveLength(1);
    expect(first.channels[0]?.follower.isOpen).toBe(true);
    expect(getPoolStatus()?.activeLeases).toBe(0);
    expect(harness.sessions.backend.committedWrites).toEqual([]);
  });

  // Guards against one of the few connections that is kept until a silent caller
  // disconnects.
  it('rolls back a failed transaction after the idle timeout', async () => {
    const {backend} = harness.sessions;
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    const rejection = 'invalidStatement';
    backend.plan('p', {kind: 'reject', rejection, failsTransaction: true});
    await harness.run(session, WRITE);
    await harness.run(session, WRITE);
    expect(session.transactionState).toBe('failed');
    expect(getPoolStatus()?.suspendedLeases).toBe(1);
    await advance(4_000);
    expect(getPoolStatus()?.suspendedLeases).toBe(0);
  });

  // Guards against reads of a whole zone that avoid a server because one caller
  // has left.
  it('does not suspect the server of a statement whose caller has left', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    harness.sessions.backend.plan('p', {kind: 'silence'});
    const reply = start(WRITE, session);
    await advance(20);
    session.close();
    await advance(1_100);
    await reply;
    expect(harness.sessions.group.getServer('p')?.isSuspect).toBe(false);
  });

  // Guards against a session that waits for the end of a transaction which the
  // holder does not have.
  it('opens no transaction for a read that leaves its connection in one', async () => {
    const session = harness.open('strict');
    const rejection = 'invalidStatement';
    harness.sessions.backend.plan('p', {
      kind: 'reject',
      rejection,
      failsTransaction: true,
    });
    await harness.run(session, READ);
    expect(session.transactionState).toBe('idle');
    const reply = await harness.run(session, READ);
    expect(reply.result.kind).toBe('complete');
  });
});
