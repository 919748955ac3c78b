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
 * State machine of a request with an idempotency key: which statements to send
 * to the primary, and what their responses mean. The request and its completion
 * record are committed in one transaction, so the unique key of the record
 * ensures that only one of several runs of a request takes effect. See
 * docs/design/exactly_once.md.
 *
 * The first batch is `BEGIN` and the request, the second the record and
 * `COMMIT`. If a record already exists, the second batch fails as a whole and
 * the response is taken from the record instead.
 */

/** Request with an idempotency key. @public */
export interface KeyedRequest {
  readonly requestKey: string;
  /** Hash of the statement and its parameters. */
  readonly statementHash: string;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly nowMs: number;
}

/** Statement to send. @public */
export type PlannedStatement =
  /** The caller's statement. */
  | {readonly kind: 'request'}
  /** Internal statement, whose response is not sent to the caller. */
  | {readonly kind: 'internal'; readonly sql: string};

/** Response to one statement. @public */
export type StatementResponse =
  | {
      readonly kind: 'completed';
      /** Rows in text form. */
      readonly rows: readonly (readonly (string | null)[])[];
      /** Log position that the statement read or committed at. */
      readonly position: LogPosition | null;
      /** Response in its stored form; only for the caller's statement. */
      readonly storedAnswer: string | null;
    }
  | {readonly kind: 'failed'; readonly sqlState: string}
  /** The connection was lost before the response arrived. */
  | {readonly kind: 'lost'};

/** Outcome of a keyed request. @public */
export type CompletionOutcome =
  /** Executed by this run; the caller gets its response. */
  | {readonly kind: 'executed'; readonly position: LogPosition}
  /** Executed by an earlier run; the caller gets the recorded response. */
  | {
      readonly kind: 'replayed';
      readonly answer: string;
      /** Position that covers the record, or null if none was reported. */
      readonly position: LogPosition | null;
    }
  /** The request failed with its own error and had no effect. */
  | {readonly kind: 'failed'}
  | {readonly kind: 'requestKeyReused'}
  | {readonly kind: 'answerTooLarge'}
  /** Not run: its commit was not sent or rolled back. Safe to run again. */
  | {readonly kind: 'notRun'}
  /** Outcome unknown. Running the plan again determines it. */
  | {readonly kind: 'unknown'};

/** Next action of the plan's user. @public */
export type CompletionStep =
  /** Send the statements in one batch and handle the response to each. */
  | {readonly kind: 'send'; readonly statements: readonly PlannedStatement[]}
  /** Wait until a majority of the group's instances holds the position. */
  | {readonly kind: 'waitForMajority'; readonly position: LogPosition}
  | {readonly kind: 'finish'; readonly outcome: CompletionOutcome};

type Stage =
  | {readonly kind: 'running'}
  | {readonly kind: 'committing'}
  | {readonly kind: 'creatingTable'}
  | {
      readonly kind: 'lookingUp';
      /** Outcome if there is no record. */
      readonly absentOutcome: CompletionOutcome;
      /** Outcome if the response to the lookup is lost. */
      readonly lostOutcome: CompletionOutcome;
    }
  /** Waiting until a majority holds the position of the record. */
  | {readonly kind: 'proving'; readonly outcome: CompletionOutcome}
  /** Rolling back; the outcome is already decided. */
  | {readonly kind: 'closing'; readonly outcome: CompletionOutcome};

const UNIQUE_VIOLATION = '23505';
const UNDEFINED_TABLE = '42P01';

/**
 * SQLSTATE classes of transient errors: transaction rollback (40), insufficient
 * resources (53), object not in prerequisite state such as locks (55), operator
 * intervention (57). They may be caused by an earlier run that still holds its
 * locks, so they don't determine the outcome of the request.
 */
const TRANSIENT_ERROR_CLASSES = new Set(['40', '53', '55', '57']);

const BEGIN: PlannedStatement = {kind: 'internal', sql: 'BEGIN'};
const COMMIT: PlannedStatement = {kind: 'internal', sql: 'COMMIT'};
const ROLLBACK: PlannedStatement = {kind: 'internal', sql: 'ROLLBACK'};
const LOST: StatementResponse = {kind: 'lost'};

/** Plan of one run of a keyed request on one connection. @public */
export class CompletionPlan {
  private stage: Stage = {kind: 'running'};

  private constructor(
    private readonly request: KeyedRequest,
    private readonly rules: CompletionRules,
  ) {}

  static create(request: KeyedRequest, rules: CompletionRules): CompletionPlan {
    return new CompletionPlan(request, rules);
  }

  /** Returns the first step. */
  start(): CompletionStep {
    this.stage = {kind: 'running'};
    return send([BEGIN, {kind: 'request'}]);
  }

  /** Handles the responses to the last batch, in the order of statements. */
  handleResponses(responses: readonly StatementResponse[]): CompletionStep {
    switch (this.stage.kind) {
      case 'running':
        return this.handleRequest(responses[0] ?? LOST, responses[1] ?? LOST);
      case 'committing':
        return this.handleCommit(responses[0] ?? LOST, responses[1] ?? LOST);
      case 'creatingTable':
        return this.handleTable(responses[1] ?? LOST);
      case 'lookingUp':
        return this.handleLookup(responses[1] ?? LOST, this.stage);
      case 'closing':
        return finish(this.stage.outcome);
      case 'proving':
        throw new Error(
          'Expected the result of waiting for a majority, not responses',
        );
      default:
        return exhaustiveSwitchError(this.stage);
    }
  }

  /** Handles the result of waiting for a majority. */
  handleMajority(isConfirmed: boolean): CompletionStep {
    if (this.stage.kind !== 'proving') {
      throw new Error('The plan is not waiting for a majority');
    }
    return finish(isConfirmed ? this.stage.outcome : {kind: 'unknown'});
  }

  private handleRequest(
    begin: StatementResponse,
    response: StatementResponse,
  ): CompletionStep {
    if (begin.kind !== 'completed' || response.kind === 'lost') {
      return finish({kind: 'notRun'});
    }
    if (response.kind === 'failed') {
      // The failure may be caused by an earlier run of the same request.
      const absentOutcome: CompletionOutcome = isTransientError(
        response.sqlState,
      )
        ? {kind: 'notRun'}
        : {kind: 'failed'};
      return this.lookUp(absentOutcome, {kind: 'notRun'});
    }
    const storedAnswer = response.storedAnswer ?? '';
    if (storedAnswer.length > MAX_STORED_ANSWER_LENGTH) {
      return this.rollBack({kind: 'answerTooLarge'});
    }
    this.stage = {kind: 'committing'};
    return send([this.createRecordStatement(storedAnswer), COMMIT]);
  }

  /**
   * Returns the statement that inserts the record. If the mutation test turns
   * `mustRecord` off, a lookup takes its place and no record is written.
   */
  private createRecordStatement(answer: string): PlannedStatement {
    if (!this.rules.mustRecord()) {
      return {kind: 'internal', sql: createLookupSql(this.request.requestKey)};
    }
    const {requestKey, statementHash, nowMs} = this.request;
    return {
      kind: 'internal',
      sql: createInsertSql({
        requestKey,
        statementHash,
        answer,
        completedAtMs: nowMs,
      }),
    };
  }

  private handleCommit(
    record: StatementResponse,
    commit: StatementResponse,
  ): CompletionStep {
    if (record.kind === 'failed') {
      return this.handleRecordFailure(record.sqlState, commit);
    }
    if (record.kind === 'lost' || commit.kind === 'lost') {
      return finish({kind: 'unknown'});
    }
    if (commit.kind === 'failed' || commit.position === null) {
      // A commit that fails, or reports no position, may have taken effect.
      return finish({kind: 'unknown'});
    }
    return this.waitForMajority(commit.position, {
      kind: 'executed',
      position: commit.position,
    });
  }

  /** Handles a failed record statement: `COMMIT` then rolls back. */
  private handleRecordFailure(
    sqlState: string,
    commit: StatementResponse,
  ): CompletionStep {
    if (commit.kind === 'lost') {
      return finish({kind: 'notRun'});
    }
    if (sqlState === UNIQUE_VIOLATION) {
      // The existing record shows that an earlier run took effect.
      return this.lookUp({kind: 'notRun'}, {kind: 'unknown'});
    }
    if (sqlState === UNDEFINED_TABLE) {
      this.stage = {kind: 'creatingTable'};
      return send([ROLLBACK, {kind: 'internal', sql: createTableSql()}]);
    }
    return this.rollBack({kind: 'notRun'});
  }

  private handleTable(response: StatementResponse): CompletionStep {
    if (response.kind === 'lost') {
      return finish({kind: 'notRun'});
    }
    // Another proxy may have created the table first, so ignore failures and
    // run the request again.
    return this.start();
  }

  private lookUp(
    absentOutcome: CompletionOutcome,
    lostOutcome: CompletionOutcome,
  ): CompletionStep {
    this.stage = {kind: 'lookingUp', absentOutcome, lostOutcome};
    const sql = createLookupSql(this.request.requestKey);
    return send([ROLLBACK, {kind: 'internal', sql}]);
  }

  private handleLookup(
    response: StatementResponse,
    {absentOutcome, lostOutcome}: Extract<Stage, {kind: 'lookingUp'}>,
  ): CompletionStep {
    if (response.kind === 'lost') {
      return finish(lostOutcome);
    }
    if (response.kind === 'failed' || response.rows.length === 0) {
      return finish(absentOutcome);
    }
    const [recordedHash, recordedAnswer] = response.rows[0] ?? [];
    const {statementHash} = this.request;
    if (!this.rules.isSameStatement(recordedHash ?? '', statementHash)) {
      return finish({kind: 'requestKeyReused'});
    }
    const outcome = {
      kind: 'replayed',
      answer: recordedAnswer ?? '',
      position: response.position,
    } as const;
    if (response.position === null || !this.rules.mustConfirmReplay()) {
      return finish(outcome);
    }
    return this.waitForMajority(response.position, outcome);
  }

  private waitForMajority(
    position: LogPosition,
    outcome: CompletionOutcome,
  ): CompletionStep {
    this.stage = {kind: 'proving', outcome};
    return {kind: 'waitForMajority', position};
  }

  private rollBack(outcome: CompletionOutcome): CompletionStep {
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

function isTransientError(sqlState: string): boolean {
  return TRANSIENT_ERROR_CLASSES.has(sqlState.slice(0, 2));
}
