import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {CompletionRules} from './completion_rules.js';
import {
  createInsertSql,
  createLookupSql,
  createTableSql,
  MAX_STORED_ANSWER_LENGTH,
} from './completion_statement.js';

/**
 * Plans a request that carries an idempotency key: which statements to send to
 * the primary, and what their answers mean. The request and its completion
 * record commit together, so the unique key of the record decides between two
 * runs of one request. docs/design/exactly_once.md has the argument.
 *
 * The first batch is `BEGIN` and the request, the second the record and
 * `COMMIT`. A record that exists makes the second batch fail as a whole, and
 * the request is answered from the record instead.
 */

/** A request with an idempotency key. @public */
export interface KeyedRequest {
  readonly requestKey: string;
  /** Hash of the statement with its parameters. */
  readonly statementHash: string;
  /** Wall-clock time in milliseconds since 1970. */
  readonly nowMs: number;
}

/** One statement to send. @public */
export type PlannedStatement =
  /** The caller's own statement. */
  | {readonly kind: 'request'}
  /** A statement of the plan; its answer is not for the caller. */
  | {readonly kind: 'own'; readonly sql: string};

/** The answer to one statement. @public */
export type StatementAnswer =
  | {
      readonly kind: 'completed';
      /** Rows in text form. */
      readonly rows: readonly (readonly (string | null)[])[];
      /** Place that the statement read, or of its commit. */
      readonly position: LogPosition | null;
      /** Stored form of the caller's answer; only for the request. */
      readonly storedAnswer: string | null;
    }
  | {readonly kind: 'failed'; readonly sqlState: string}
  /** The connection broke before the answer arrived. */
  | {readonly kind: 'lost'};

/** How a keyed request ended. @public */
export type CompletionOutcome =
  /** Run now; the caller gets the answer to the request. */
  | {readonly kind: 'executed'; readonly position: LogPosition}
  /** Run before; the caller gets the recorded answer. */
  | {
      readonly kind: 'replayed';
      readonly answer: string;
      /** Place that covers the record, or null when the instance gave none. */
      readonly position: LogPosition | null;
    }
  /** The request failed with its own error and left nothing behind. */
  | {readonly kind: 'failed'}
  | {readonly kind: 'requestKeyReused'}
  | {readonly kind: 'answerTooLarge'}
  /** Not run: its commit was never sent. Safe to run again. */
  | {readonly kind: 'notRun'}
  /** Unknown; running the plan again settles it. */
  | {readonly kind: 'unknown'};

/** What to do next. @public */
export type CompletionStep =
  /** Send the statements in one batch and bring back an answer for each. */
  | {readonly kind: 'send'; readonly statements: readonly PlannedStatement[]}
  /** Wait until a majority holds the place. */
  | {readonly kind: 'waitForMajority'; readonly position: LogPosition}
  | {readonly kind: 'finish'; readonly outcome: CompletionOutcome};

type Stage =
  | {readonly kind: 'running'}
  | {readonly kind: 'committing'}
  | {readonly kind: 'creatingTable'}
  | {
      readonly kind: 'lookingUp';
      /** What holds when there is no record. */
      readonly absentOutcome: CompletionOutcome;
      /** What holds when the lookup is lost. */
      readonly lostOutcome: CompletionOutcome;
    }
  | {readonly kind: 'proving'; readonly outcome: CompletionOutcome}
  | {readonly kind: 'closing'; readonly outcome: CompletionOutcome};

const UNIQUE_VIOLATION = '23505';
const UNDEFINED_TABLE = '42P01';

/**
 * Classes of errors that pass: rollback, resources, locks, intervention. An
 * earlier run that still holds its locks can be their cause, so they do not
 * tell how the request ends.
 */
const PASSING_CLASSES = new Set(['40', '53', '55', '57']);

const BEGIN: PlannedStatement = {kind: 'own', sql: 'BEGIN'};
const COMMIT: PlannedStatement = {kind: 'own', sql: 'COMMIT'};
const ROLLBACK: PlannedStatement = {kind: 'own', sql: 'ROLLBACK'};
const LOST: StatementAnswer = {kind: 'lost'};

/** The plan of one run of a keyed request on one connection. @public */
export class CompletionPlan {
  private stage: Stage = {kind: 'running'};

  private constructor(
    private readonly request: KeyedRequest,
    private readonly rules: CompletionRules,
  ) {}

  static create(request: KeyedRequest, rules: CompletionRules): CompletionPlan {
    return new CompletionPlan(request, rules);
  }

  /** The first step. */
  start(): CompletionStep {
    this.stage = {kind: 'running'};
    return send([BEGIN, {kind: 'request'}]);
  }

  /** Takes the answers to the batch that was sent, in its order. */
  handleAnswers(answers: readonly StatementAnswer[]): CompletionStep {
    switch (this.stage.kind) {
      case 'running':
        return this.handleRequest(answers[0] ?? LOST, answers[1] ?? LOST);
      case 'committing':
        return this.handleCommit(answers[0] ?? LOST, answers[1] ?? LOST);
      case 'creatingTable':
        return this.handleTable(answers[1] ?? LOST);
      case 'lookingUp':
        return this.handleLookup(answers[1] ?? LOST, this.stage);
      case 'closing':
        return finish(this.stage.outcome);
      case 'proving':
        throw new Error('A majority is awaited, not answers');
      default:
        return exhaustiveSwitchError(this.stage);
    }
  }

  /** Takes whether a majority holds the place that was waited for. */
  handleMajority(isProven: boolean): CompletionStep {
    if (this.stage.kind !== 'proving') {
      throw new Error('No majority is awaited');
    }
    return finish(isProven ? this.stage.outcome : {kind: 'unknown'});
  }

  private handleRequest(
    begin: StatementAnswer,
    answer: StatementAnswer,
  ): CompletionStep {
    if (begin.kind !== 'completed' || answer.kind === 'lost') {
      return finish({kind: 'notRun'});
    }
    if (answer.kind === 'failed') {
      // An earlier run of the same request may be the cause of the failure.
      const absentOutcome: CompletionOutcome = isPassing(answer.sqlState)
        ? {kind: 'notRun'}
        : {kind: 'failed'};
      return this.lookUp(absentOutcome, {kind: 'notRun'});
    }
    const storedAnswer = answer.storedAnswer ?? '';
    if (storedAnswer.length > MAX_STORED_ANSWER_LENGTH) {
      return this.close({kind: 'answerTooLarge'});
    }
    this.stage = {kind: 'committing'};
    return send([this.createRecordStatement(storedAnswer), COMMIT]);
  }

  private createRecordStatement(answer: string): PlannedStatement {
    if (!this.rules.mustRecord()) {
      return {kind: 'own', sql: createLookupSql(this.request.requestKey)};
    }
    const {requestKey, statementHash, nowMs} = this.request;
    return {
      kind: 'own',
      sql: createInsertSql({
        requestKey,
        statementHash,
        answer,
        completedAtMs: nowMs,
      }),
    };
  }

  private handleCommit(
    record: StatementAnswer,
    commit: StatementAnswer,
  ): CompletionStep {
    if (record.kind === 'failed') {
      return this.handleRecordFailure(record.sqlState, commit);
    }
    if (record.kind === 'lost' || commit.kind === 'lost') {
      return finish({kind: 'unknown'});
    }
    if (commit.kind === 'failed' || commit.position === null) {
      // Whether a commit that answers with an error took effect is not known.
      return finish({kind: 'unknown'});
    }
    return this.prove(commit.position, {
      kind: 'executed',
      position: commit.position,
    });
  }

  /** The commit of a failed transaction rolls it back. */
  private handleRecordFailure(
    sqlState: string,
    commit: StatementAnswer,
  ): CompletionStep {
    if (commit.kind === 'lost') {
      return finish({kind: 'notRun'});
    }
    if (sqlState === UNIQUE_VIOLATION) {
      // The record that was met shows that an earlier run took effect.
      return this.lookUp({kind: 'notRun'}, {kind: 'unknown'});
    }
    if (sqlState === UNDEFINED_TABLE) {
      this.stage = {kind: 'creatingTable'};
      return send([ROLLBACK, {kind: 'own', sql: createTableSql()}]);
    }
    return this.close({kind: 'notRun'});
  }

  private handleTable(answer: StatementAnswer): CompletionStep {
    if (answer.kind === 'lost') {
      return finish({kind: 'notRun'});
    }
    // Another proxy may have created it first; the next run tells.
    return this.start();
  }

  private lookUp(
    absentOutcome: CompletionOutcome,
    lostOutcome: CompletionOutcome,
  ): CompletionStep {
    this.stage = {kind: 'lookingUp', absentOutcome, lostOutcome};
    const sql = createLookupSql(this.request.requestKey);
    return send([ROLLBACK, {kind: 'own', sql}]);
  }

  private handleLookup(
    answer: StatementAnswer,
    {absentOutcome, lostOutcome}: Extract<Stage, {kind: 'lookingUp'}>,
  ): CompletionStep {
    if (answer.kind === 'lost') {
      return finish(lostOutcome);
    }
    if (answer.kind === 'failed' || answer.rows.length === 0) {
      return finish(absentOutcome);
    }
    const [recordedHash, recordedAnswer] = answer.rows[0] ?? [];
    const {statementHash} = this.request;
    if (!this.rules.isSameStatement(recordedHash ?? '', statementHash)) {
      return finish({kind: 'requestKeyReused'});
    }
    const outcome = {
      kind: 'replayed',
      answer: recordedAnswer ?? '',
      position: answer.position,
    } as const;
    if (answer.position === null || !this.rules.mustProveReplay()) {
      return finish(outcome);
    }
    return this.prove(answer.position, outcome);
  }

  private prove(
    position: LogPosition,
    outcome: CompletionOutcome,
  ): CompletionStep {
    this.stage = {kind: 'proving', outcome};
    return {kind: 'waitForMajority', position};
  }

  private close(outcome: CompletionOutcome): CompletionStep {
    this.stage = {kind: 'closing', outcome};
    return send([ROLLBACK]);
  }
}

function send(statements: readonly PlannedStatement[]): CompletionStep {
  return {kind: 'send', statements};
}

function finish(outcome: CompletionOutcome): CompletionStep {
  return {kind: 'finish', outcome};
}

function isPassing(sqlState: string): boolean {
  return PASSING_CLASSES.has(sqlState.slice(0, 2));
}
