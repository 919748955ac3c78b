import {beforeEach, describe, expect, it} from 'vitest';
import type {CallerStatement} from '../statement/caller_statement.js';
import type {StatementReply} from '../statement/statement_answer.js';
import {SessionTestHarness} from '../testing/session_test_harness.js';
import {advanceClock, settlePromises} from '../testing/settle.js';

const WRITE: CallerStatement = {kind: 'write', text: 'WRITE a x'};
const BEGIN: CallerStatement = {kind: 'begin', isReadOnly: false};
const COMMIT: CallerStatement = {kind: 'commit'};

/**
 * A proxy was cut off during a whole change of primary: it was not asked for a
 * release in time and reads only the record of the new term.
 */
describe('a proxy that missed a change of primary', () => {
  let harness: SessionTestHarness;

  beforeEach(() => {
    harness = SessionTestHarness.create();
    harness.grantLease('p', 1);
  });

  function findOutcome({result}: StatementReply): string {
    return result.kind === 'error' ? result.error.kind : result.kind;
  }

  // The old primary goes on until a second after it reaches the new one, and its
  // commit was acknowledged although the new primary lacks it.
  it('acknowledges no commit of the old term once it knows the new one', async () => {
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    await harness.run(session, WRITE);
    harness.grantLease('r1', 2);
    const reply = await harness.run(session, COMMIT);
    expect(findOutcome(reply)).toBe('outcomeUnknown');
  });

  // The same for a single write that was under way.
  it('acknowledges no write of the old term once it knows the new one', async () => {
    const session = harness.open('strict');
    const reply = session.handle({
      requestId: 'w',
      statement: WRITE,
      receivedAtMs: harness.clock.nowMs(),
    });
    await settlePromises();
    harness.grantLease('r1', 2);
    await advanceClock(harness.clock, 100);
    expect(findOutcome(await reply)).toBe('outcomeUnknown');
  });

  // An announced record of the new term has the same meaning.
  it('acknowledges no commit of the old term after an announcement of the new one', () => {
    harness.group.applyAnnouncedRecord({
      revision: 2,
      record: {
        phase: 'stable',
        databaseGroup: 'group',
        primary: 'r1',
        term: 2,
        writesFromStoreMs: null,
      },
    });
    const position = {term: 1, position: 1};
    expect(harness.group.mayAcknowledge(position)).toBe(false);
  });
});
