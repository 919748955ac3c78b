import {beforeEach, describe, expect, it} from 'vitest';
import {digestApiKey} from '../customer/api_key_digest.js';
import {CustomerDirectory} from '../customer/customer_directory.js';
import type {CallerStatement} from '../statement/caller_statement.js';
import type {StatementReply} from '../statement/statement_answer.js';
import {
  ForwardingTestHarness,
  type HarnessHolder,
} from '../testing/forwarding_test_harness.js';
import {advanceClock} from '../testing/settle.js';

const READ: CallerStatement = {kind: 'read', text: 'READ a'};
const WRITE: CallerStatement = {kind: 'write', text: 'WRITE a x'};
const BEGIN: CallerStatement = {kind: 'begin', isReadOnly: false};
const COMMIT: CallerStatement = {kind: 'commit'};
const ROLLBACK: CallerStatement = {kind: 'rollback'};

/** Longer than the stream's silence detection, shorter than the deadline. */
const SILENCE_MS = 600;

function errorKind(reply: StatementReply): string | null {
  return reply.result.kind === 'error' ? reply.result.error.kind : null;
}

describe('Forwarding', () => {
  let harness: ForwardingTestHarness;
  let first: HarnessHolder;
  let second: HarnessHolder;

  beforeEach(() => {
    harness = ForwardingTestHarness.create();
    const [firstRanked, secondRanked] = harness.ranked;
    if (firstRanked === undefined || secondRanked === undefined) {
      throw new Error('The harness has fewer than two holders.');
    }
    first = firstRanked;
    second = secondRanked;
  });

  function listRuns(): readonly string[] {
    return harness.sessions.backend.runs.map(({requestId}) => requestId);
  }

  /** Makes the primary run the next statement without an answer. */
  function holdNextAnswer(): void {
    harness.sessions.backend.plan('p', {kind: 'silence'});
  }

  /** Runs a statement while `disturb` is called shortly after it was sent. */
  async function runDisturbed(
    statement: CallerStatement,
    disturb: () => void,
    requestId: string,
    session = harness.open('strict'),
  ): Promise<StatementReply> {
    const reply = harness.run(session, statement, requestId);
    await advanceClock(harness.sessions.clock, 5);
    disturb();
    return reply;
  }

  // Guards against an acknowledged write whose instance no log names, because it
  // ran on the connection of a holder.
  it('logs the instance and the position of a forwarded write and commit by request id', async () => {
    const session = harness.open('strict');
    await harness.run(session, WRITE, 'write');
    await harness.run(session, BEGIN, 'begin');
    await harness.run(session, WRITE, 'inside');
    await harness.run(session, COMMIT, 'commit');
    const {events} = harness.sessions.events;
    for (const [requestId, position] of [
      ['write', {term: 1, position: 1}],
      ['commit', {term: 1, position: 2}],
    ] as const) {
      expect(events).toContainEqual({
        kind: 'writeAcknowledged',
        requestId,
        databaseGroup: 'group',
        backendServer: 'p',
        position,
      });
      expect(events).toContainEqual(
        expect.objectContaining({
          kind: 'statementAnswered',
          requestId,
          position,
        }),
      );
    }
    expect(harness.listForwarded()).toHaveLength(2);
  });

  it('relays reads and writes with their signatures through the first holder', async () => {
    const session = harness.open('strict');
    const read = await harness.run(session, READ, 'id-1');
    const write = await harness.run(session, WRITE, 'id-2');
    expect(read.result).toEqual({kind: 'complete', signature: 'sig-id-1'});
    expect(write.result).toEqual({kind: 'complete', signature: 'sig-id-2'});
    expect(harness.listForwarded()).toEqual([first.entryVm, first.entryVm]);
  });

  // Guards against reads that miss the session's own commits.
  it('gives later reads of the session the floor of a forwarded write', async () => {
    const session = harness.open('session');
    await harness.run(session, WRITE);
    await harness.run(session, READ);
    const floor = harness.sessions.backend.runs.at(-1)?.requiredPosition;
    expect(floor).toEqual({term: 1, position: 1});
  });

  it('gives the connection the values and prepared statements of the session', async () => {
    const session = harness.open('strict');
    await harness.run(session, {kind: 'setValue', name: 'a', value: '1'});
    const prepared = {access: 'read', definitionText: 'shape'} as const;
    await harness.run(session, {kind: 'prepare', name: 's', prepared});
    await harness.run(session, {
      kind: 'execute',
      name: 's',
      argumentText: 'x',
    });
    const run = harness.sessions.backend.runs.at(-1);
    expect(run?.values).toEqual(new Map([['a', '1']]));
    expect(run?.preparedStatement).toEqual(prepared);
  });

  // Guards against one connection for each follower of a holder.
  it('runs operations without a customer under the shared identity of the holder', async () => {
    await harness.run(harness.open('strict'), READ);
    const [run] = harness.sessions.backend.runs;
    expect(run?.identity).toBe(harness.sessions.sharedIdentity);
  });

  // Guards against a connection that is lent to another customer.
  it('runs the operations of a customer under its own identity', async () => {
    harness.sessions.customers = CustomerDirectory.create([
      {name: 'acme', keyDigests: [digestApiKey('key-1')], limit: null},
    ]);
    await harness.run(harness.open('strict', 'key-1'), READ);
    const [run] = harness.sessions.backend.runs;
    expect(run?.identity).toBe('acme');
  });

  it('runs a transaction on one connection of the holder', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    await harness.run(session, WRITE, 'w');
    const reply = await harness.run(session, COMMIT);
    expect(reply.result.kind).toBe('complete');
    expect(session.transactionState).toBe('idle');
    expect(harness.sessions.backend.committedWrites).toEqual(['w']);
    expect(first.forwarding.transactionCount).toBe(0);
  });

  // Guards against a write that is run by two holders.
  it('never repeats a write after its holder was lost', async () => {
    holdNextAnswer();
    const reply = await runDisturbed(
      WRITE,
      () => first.channels[0]?.follower.reset(),
      'w',
    );
    expect(errorKind(reply)).toBe('outcomeUnknown');
    await advanceClock(harness.sessions.clock, 2_000);
    expect(harness.listForwarded()).toEqual([first.entryVm]);
  });

  // Guards against a write that is run by two holders.
  it('never repeats a write after its holder fell silent', async () => {
    const reply = await runDisturbed(
      WRITE,
      () => {
        const [channel] = first.channels;
        if (channel !== undefined) {
          channel.holder.isDropping = true;
        }
      },
      'w',
    );
    const isAnswered = reply.result.kind === 'complete';
    expect(isAnswered || errorKind(reply) === 'outcomeUnknown').toBe(true);
    expect(listRuns()).toEqual(['w']);
    expect(harness.listForwarded()).toEqual([first.entryVm]);
  });

  it('repeats a read at the next holder after its holder was lost', async () => {
    holdNextAnswer();
    const reply = await runDisturbed(
      READ,
      () => first.channels[0]?.follower.reset(),
      'r',
    );
    expect(reply.result.kind).toBe('complete');
    expect(harness.listForwarded()).toEqual([first.entryVm, second.entryVm]);
  });

  it('notices a silent holder long before the deadline of a read', async () => {
    const session = harness.open('strict');
    await harness.run(session, READ);
    const [channel] = first.channels;
    if (channel !== undefined) {
      channel.holder.isDropping = true;
    }
    const startedAtMs = harness.sessions.clock.nowMs();
    const reply = await harness.run(session, READ);
    expect(reply.result.kind).toBe('complete');
    const durationMs = harness.sessions.clock.nowMs() - startedAtMs;
    expect(durationMs).toBeLessThan(SILENCE_MS);
  });

  it('uses the next holder when the first declines or cannot be reached', async () => {
    first.declineReason = 'stopping';
    const session = harness.open('strict');
    const write = await harness.run(session, WRITE, 'w');
    expect(write.result.kind).toBe('complete');
    expect(listRuns()).toEqual(['w']);
    expect(harness.listForwarded()).toEqual([first.entryVm, second.entryVm]);
    await harness.run(session, READ);
    expect(harness.listForwarded().at(-1)).toBe(second.entryVm);
  });

  it('uses own connections when no holder can be reached', async () => {
    first.isReachable = false;
    second.isReachable = false;
    const reply = await harness.run(harness.open('strict'), WRITE, 'w');
    expect(reply.result.kind).toBe('complete');
    expect(harness.listForwarded()).toEqual([]);
  });

  it('returns to the first holder some time after it failed', async () => {
    first.isReachable = false;
    const session = harness.open('strict');
    await harness.run(session, READ);
    first.isReachable = true;
    for (let count = 0; count < 20; count++) {
      await advanceClock(harness.sessions.clock, 200);
      await harness.run(session, READ);
    }
    expect(harness.listForwarded().at(-1)).toBe(first.entryVm);
  });

  // Guards against an acknowledged commit that was lost, and one that is hidden.
  it('reports an unknown outcome when the holder is lost during a commit of writes', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    await harness.run(session, WRITE, 'w');
    holdNextAnswer();
    const reply = await runDisturbed(
      COMMIT,
      () => first.channels[0]?.follower.reset(),
      'c',
      session,
    );
    expect(errorKind(reply)).toBe('outcomeUnknown');
    expect(session.transactionState).toBe('idle');
  });

  it('reports a lost transaction, which was rolled back, when the holder is lost before the commit', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    await harness.run(session, WRITE, 'w');
    first.channels[0]?.follower.reset();
    await advanceClock(harness.sessions.clock, 10);
    const commit = await harness.run(session, COMMIT);
    expect(errorKind(commit)).toBe('transactionLost');
    await advanceClock(harness.sessions.clock, 1_000);
    expect(harness.sessions.backend.committedWrites).toEqual([]);
    expect(first.forwarding.transactionCount).toBe(0);
  });

  // Guards against transactions that stay open at the holder for nobody.
  it('rolls back the transactions of a follower whose stream has ended', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    await harness.run(session, WRITE, 'w');
    expect(first.forwarding.transactionCount).toBe(1);
    first.channels[0]?.holder.reset();
    await advanceClock(harness.sessions.clock, 1_000);
    expect(first.forwarding.transactionCount).toBe(0);
    expect(harness.sessions.backend.committedWrites).toEqual([]);
    const {pool} = harness.sessions.group.getServer('p') ?? {};
    expect(pool?.getStatus().suspendedLeases).toBe(0);
  });

  it('rolls back the transaction of a silent follower after the idle timeout', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    const [channel] = first.channels;
    if (channel !== undefined) {
      channel.follower.isDropping = true;
    }
    await advanceClock(harness.sessions.clock, 4_000);
    const {pool} = harness.sessions.group.getServer('p') ?? {};
    expect(pool?.getStatus().suspendedLeases).toBe(0);
  });

  // Guards against a transaction that nobody ends: the holder ignores the cancel
  // of an exchange that it has answered.
  it('rolls back a transaction whose BEGIN was answered too late', async () => {
    const {backend, clock} = harness.sessions;
    // The answer leaves the holder just before the follower's cancel arrives.
    backend.answerTimesMs.set('p', 1_049);
    const session = harness.open('strict');
    const reply = session.handle({
      requestId: 'b',
      statement: BEGIN,
      receivedAtMs: clock.nowMs(),
    });
    for (let elapsedMs = 0; elapsedMs < 1_100; elapsedMs++) {
      await advanceClock(clock, 1);
    }
    expect(errorKind(await reply)).toBe('outcomeUnknown');
    expect(backend.runs.map(({text}) => text)).toEqual(['begin']);
    expect(first.forwarding.transactionCount).toBe(0);
  });

  it('rolls back when the caller leaves', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    await harness.run(session, WRITE, 'w');
    session.close();
    await advanceClock(harness.sessions.clock, 600);
    expect(first.forwarding.transactionCount).toBe(0);
    expect(harness.sessions.backend.committedWrites).toEqual([]);
  });

  it('ends a transaction on request and starts the next one', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    await harness.run(session, WRITE, 'w1');
    await harness.run(session, ROLLBACK);
    await harness.run(session, BEGIN);
    await harness.run(session, WRITE, 'w2');
    await harness.run(session, COMMIT);
    expect(harness.sessions.backend.committedWrites).toEqual(['w2']);
  });

  // Guards against a strict read on a holder that may have missed a change.
  it('refuses strict reads while the holder has no lease on the primary', async () => {
    const session = harness.open('strict');
    harness.sessions.wallClock.step(5_000);
    expect(errorKind(await harness.run(session, READ))).toBe('unavailable');
    expect(harness.sessions.backend.runs).toEqual([]);
  });

  it('uses own connections while the group has direct access', async () => {
    harness.sessions.group.setSharedAccess(false);
    await harness.run(harness.open('strict'), READ);
    expect(harness.listForwarded()).toEqual([]);
  });
});
