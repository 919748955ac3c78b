import {describe, expect, it} from 'vitest';
import {
  CompletionPlan,
  type CompletionStep,
  type StatementAnswer,
} from './completion_plan.js';
import {CompletionRules} from './completion_rules.js';
import {MAX_STORED_ANSWER_LENGTH} from './completion_statement.js';
import {hashStatement} from './statement_hash.js';

const PLACE = {term: 2, position: 7};
const LOST: StatementAnswer = {kind: 'lost'};

function createPlan(): CompletionPlan {
  return CompletionPlan.create(
    {requestKey: "it's", statementHash: 'hash', nowMs: 5},
    CompletionRules.create(),
  );
}

function complete(
  rows: readonly (readonly string[])[] = [],
  storedAnswer: string | null = null,
): StatementAnswer {
  return {kind: 'completed', rows, position: PLACE, storedAnswer};
}

function fail(sqlState: string): StatementAnswer {
  return {kind: 'failed', sqlState};
}

function getSql(step: CompletionStep): readonly string[] {
  if (step.kind !== 'send') {
    return [];
  }
  return step.statements.map(statement =>
    statement.kind === 'own' ? statement.sql : 'REQUEST',
  );
}

/** A plan whose request was answered and whose record is being committed. */
function createCommittingPlan(): CompletionPlan {
  const plan = createPlan();
  plan.start();
  plan.handleAnswers([complete(), complete([], 'answer')]);
  return plan;
}

describe('CompletionPlan', () => {
  it('commits the request together with its record', () => {
    const plan = createPlan();
    expect(getSql(plan.start())).toEqual(['BEGIN', 'REQUEST']);
    const sql = getSql(plan.handleAnswers([complete(), complete([], 'ok')]));
    expect(sql[0]).toContain("VALUES ('it''s', 'hash', 'ok', 5)");
    expect(sql[1]).toBe('COMMIT');
  });

  it('answers only after a majority holds the commit', () => {
    const plan = createCommittingPlan();
    const step = plan.handleAnswers([complete(), complete()]);
    expect(step).toEqual({kind: 'waitForMajority', position: PLACE});
    expect(plan.handleMajority(true)).toEqual({
      kind: 'finish',
      outcome: {kind: 'executed', position: PLACE},
    });
  });

  it('calls the outcome unknown when no majority is proved', () => {
    const plan = createCommittingPlan();
    plan.handleAnswers([complete(), complete()]);
    expect(plan.handleMajority(false)).toMatchObject({
      outcome: {kind: 'unknown'},
    });
  });

  it('knows that a request whose commit was not sent was not run', () => {
    const plan = createPlan();
    plan.start();
    expect(plan.handleAnswers([complete(), LOST])).toMatchObject({
      outcome: {kind: 'notRun'},
    });
  });

  it('calls the outcome unknown when the answer to the commit is lost', () => {
    const plan = createCommittingPlan();
    expect(plan.handleAnswers([complete(), LOST])).toMatchObject({
      outcome: {kind: 'unknown'},
    });
  });

  it('answers a repeated request from the record, once a majority holds it', () => {
    const plan = createCommittingPlan();
    const lookup = plan.handleAnswers([fail('23505'), complete()]);
    expect(getSql(lookup)[0]).toBe('ROLLBACK');
    const step = plan.handleAnswers([complete(), complete([['hash', 'old']])]);
    expect(step.kind).toBe('waitForMajority');
    expect(plan.handleMajority(true)).toMatchObject({
      outcome: {kind: 'replayed', answer: 'old'},
    });
  });

  it('finds the record of a first run that makes the second fail', () => {
    const plan = createPlan();
    plan.start();
    plan.handleAnswers([complete(), fail('23505')]);
    plan.handleAnswers([complete(), complete([['hash', 'old']])]);
    expect(plan.handleMajority(true)).toMatchObject({
      outcome: {kind: 'replayed'},
    });
  });

  it('relays the error of a request that has no record', () => {
    const plan = createPlan();
    plan.start();
    plan.handleAnswers([complete(), fail('23505')]);
    expect(plan.handleAnswers([complete(), complete()])).toMatchObject({
      outcome: {kind: 'failed'},
    });
  });

  it('does not relay an error that an unfinished first run can cause', () => {
    const plan = createPlan();
    plan.start();
    plan.handleAnswers([complete(), fail('55P03')]);
    expect(plan.handleAnswers([complete(), complete()])).toMatchObject({
      outcome: {kind: 'notRun'},
    });
  });

  it('refuses a key that was used with another statement', () => {
    const plan = createCommittingPlan();
    plan.handleAnswers([fail('23505'), complete()]);
    const step = plan.handleAnswers([complete(), complete([['other', 'x']])]);
    expect(step).toMatchObject({outcome: {kind: 'requestKeyReused'}});
  });

  it('creates the table when it is missing and starts again', () => {
    const plan = createCommittingPlan();
    const step = plan.handleAnswers([fail('42P01'), complete()]);
    expect(getSql(step)[1]).toContain('CREATE TABLE');
    expect(getSql(plan.handleAnswers([complete(), fail('42P07')]))).toEqual([
      'BEGIN',
      'REQUEST',
    ]);
  });

  it('rolls back a request whose answer is too large to keep', () => {
    const plan = createPlan();
    plan.start();
    const answer = 'x'.repeat(MAX_STORED_ANSWER_LENGTH + 1);
    const step = plan.handleAnswers([complete(), complete([], answer)]);
    expect(getSql(step)).toEqual(['ROLLBACK']);
    expect(plan.handleAnswers([complete()])).toMatchObject({
      outcome: {kind: 'answerTooLarge'},
    });
  });
});

describe('hashStatement', () => {
  it('tells statements apart whose parts join to the same text', () => {
    expect(hashStatement('a', ['bc'])).not.toBe(hashStatement('ab', ['c']));
    expect(hashStatement('a', [null])).not.toBe(hashStatement('a', ['null']));
  });
});
