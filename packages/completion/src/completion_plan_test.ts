import {describe, expect, it} from 'vitest';
import {
  CompletionPlan,
  type CompletionStep,
  type StatementResponse,
} from './completion_plan.js';
import {CompletionRules} from './completion_rules.js';
import {MAX_STORED_ANSWER_LENGTH} from './completion_statement.js';
import {hashStatement} from './statement_hash.js';

const POSITION = {term: 2, position: 7};
const LOST: StatementResponse = {kind: 'lost'};

function createPlan(): CompletionPlan {
  return CompletionPlan.create(
    {requestKey: "it's", statementHash: 'hash', nowMs: 5},
    CompletionRules.create(),
  );
}

function complete(
  rows: readonly (readonly string[])[] = [],
  storedAnswer: string | null = null,
): StatementResponse {
  return {kind: 'completed', rows, position: POSITION, storedAnswer};
}

function fail(sqlState: string): StatementResponse {
  return {kind: 'failed', sqlState};
}

function getSql(step: CompletionStep): readonly string[] {
  if (step.kind !== 'send') {
    return [];
  }
  return step.statements.map(statement =>
    statement.kind === 'internal' ? statement.sql : 'REQUEST',
  );
}

/** Creates a plan that waits for the responses to record and commit. */
function createCommittingPlan(): CompletionPlan {
  const plan = createPlan();
  plan.start();
  plan.handleResponses([complete(), complete([], 'answer')]);
  return plan;
}

describe('CompletionPlan', () => {
  it('commits the request and its record in one transaction', () => {
    const plan = createPlan();
    expect(getSql(plan.start())).toEqual(['BEGIN', 'REQUEST']);
    const sql = getSql(plan.handleResponses([complete(), complete([], 'ok')]));
    expect(sql[0]).toContain("VALUES ('it''s', 'hash', 'ok', 5)");
    expect(sql[1]).toBe('COMMIT');
  });

  it('finishes as executed only after a majority holds the commit', () => {
    const plan = createCommittingPlan();
    const step = plan.handleResponses([complete(), complete()]);
    expect(step).toEqual({kind: 'waitForMajority', position: POSITION});
    expect(plan.handleMajority(true)).toEqual({
      kind: 'finish',
      outcome: {kind: 'executed', position: POSITION},
    });
  });

  it('reports an unknown outcome if no majority is confirmed', () => {
    const plan = createCommittingPlan();
    plan.handleResponses([complete(), complete()]);
    expect(plan.handleMajority(false)).toMatchObject({
      outcome: {kind: 'unknown'},
    });
  });

  it('reports a request as not run if the connection is lost before the commit', () => {
    const plan = createPlan();
    plan.start();
    expect(plan.handleResponses([complete(), LOST])).toMatchObject({
      outcome: {kind: 'notRun'},
    });
  });

  it('reports an unknown outcome if the response to the commit is lost', () => {
    const plan = createCommittingPlan();
    expect(plan.handleResponses([complete(), LOST])).toMatchObject({
      outcome: {kind: 'unknown'},
    });
  });

  it('replays a repeated request from its record once a majority holds it', () => {
    const plan = createCommittingPlan();
    const lookup = plan.handleResponses([fail('23505'), complete()]);
    expect(getSql(lookup)[0]).toBe('ROLLBACK');
    const step = plan.handleResponses([
      complete(),
      complete([['hash', 'old']]),
    ]);
    expect(step.kind).toBe('waitForMajority');
    expect(plan.handleMajority(true)).toMatchObject({
      outcome: {kind: 'replayed', answer: 'old'},
    });
  });

  it('replays a request that fails because an earlier run took effect', () => {
    const plan = createPlan();
    plan.start();
    plan.handleResponses([complete(), fail('23505')]);
    plan.handleResponses([complete(), complete([['hash', 'old']])]);
    expect(plan.handleMajority(true)).toMatchObject({
      outcome: {kind: 'replayed'},
    });
  });

  it('reports the error of a request that has no record', () => {
    const plan = createPlan();
    plan.start();
    plan.handleResponses([complete(), fail('23505')]);
    expect(plan.handleResponses([complete(), complete()])).toMatchObject({
      outcome: {kind: 'failed'},
    });
  });

  it('does not report a transient error, which an unfinished run can cause', () => {
    const plan = createPlan();
    plan.start();
    plan.handleResponses([complete(), fail('55P03')]);
    expect(plan.handleResponses([complete(), complete()])).toMatchObject({
      outcome: {kind: 'notRun'},
    });
  });

  it('rejects a key that was used with another statement', () => {
    const plan = createCommittingPlan();
    plan.handleResponses([fail('23505'), complete()]);
    const step = plan.handleResponses([complete(), complete([['other', 'x']])]);
    expect(step).toMatchObject({outcome: {kind: 'requestKeyReused'}});
  });

  it('creates the table if it is missing and starts again', () => {
    const plan = createCommittingPlan();
    const step = plan.handleResponses([fail('42P01'), complete()]);
    expect(getSql(step)[1]).toContain('CREATE TABLE');
    expect(getSql(plan.handleResponses([complete(), fail('42P07')]))).toEqual([
      'BEGIN',
      'REQUEST',
    ]);
  });

  it('rolls back a request whose response is too large to store', () => {
    const plan = createPlan();
    plan.start();
    const answer = 'x'.repeat(MAX_STORED_ANSWER_LENGTH + 1);
    const step = plan.handleResponses([complete(), complete([], answer)]);
    expect(getSql(step)).toEqual(['ROLLBACK']);
    expect(plan.handleResponses([complete()])).toMatchObject({
      outcome: {kind: 'answerTooLarge'},
    });
  });
});

describe('hashStatement', () => {
  it('distinguishes statements whose parts concatenate to the same text', () => {
    expect(hashStatement('a', ['bc'])).not.toBe(hashStatement('ab', ['c']));
    expect(hashStatement('a', [null])).not.toBe(hashStatement('a', ['null']));
  });
});
