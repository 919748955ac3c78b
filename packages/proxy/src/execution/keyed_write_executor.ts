import type {Clock} from '@filbertrun/base/clock.js';
import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import {pause} from '@filbertrun/base/pause.js';
import type {CompletionRules} from '@filbertrun/completion/completion_rules.js';
import {
  CompletionPlan,
  type CompletionOutcome,
  type CompletionStep,
  type PlannedStatement,
  type StatementAnswer,
} from '@filbertrun/completion/completion_plan.js';
import {hashStatement} from '@filbertrun/completion/statement_hash.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import {serialize} from 'pg-protocol';
import type {WriteAcknowledger} from './acknowledgement.js';
import {isInstanceRejection} from './backend_rejection.js';
import {
  AnswerCapture,
  readTextRows,
  type CapturedAnswer,
} from './captured_answer.js';
import {applyParameters} from './connection_preparation.js';
import type {ConnectionLease} from './database_group_access.js';
import {releaseAbandoned} from './primary_executor.js';
import type {PrimaryWaitQueue} from './primary_wait_queue.js';
import {
  createFailure,
  type ExecutionResult,
  type StatementContext,
} from './statement_context.js';
import {decodeStoredAnswer, encodeStoredAnswer} from './stored_answer.js';

/** Bytes of an answer that are kept; a longer one cannot be recorded anyway. */
const MAX_CAPTURED_BYTES = 256 * 1024;

/** Pause before a request whose outcome is open is settled again. */
const SETTLE_PAUSE_MS = 50;

/** Collaborators of the executor. @public */
export interface KeyedWriteExecutorOptions {
  readonly clock: Clock;
  /** Wall-clock time in milliseconds since 1970; only retention uses it. */
  readonly getWallClockMs: () => number;
  readonly acknowledger: WriteAcknowledger;
  readonly waitQueue: PrimaryWaitQueue;
  readonly rules: CompletionRules;
}

/** What one run of the plan gave. */
interface PlanRun {
  readonly outcome: CompletionOutcome;
  /** Answer to the request itself, when it was run now. */
  readonly answer: CapturedAnswer | null;
  readonly position: LogPosition | null;
}

/**
 * Runs writes that carry an idempotency key. The completion record makes a
 * repeat safe, so a lost answer is settled by running the request again.
 *
 * @public
 */
export class KeyedWriteExecutor {
  private constructor(private readonly options: KeyedWriteExecutorOptions) {}

  static create(options: KeyedWriteExecutorOptions): KeyedWriteExecutor {
    return new KeyedWriteExecutor(options);
  }

  async execute(
    context: StatementContext,
    requestKey: string,
  ): Promise<ExecutionResult> {
    const {clock, waitQueue} = this.options;
    /** Whether an earlier run may have taken effect. */
    let isOpen = false;
    for (;;) {
      const primary = await waitQueue.getPrimary(context);
      if (!primary.ok) {
        return createFailure(isOpen ? {kind: 'outcomeUnknown'} : primary.error);
      }
      const lease = await context.running.waitUnlessCancelled(
        context.group.acquire(primary.value, context),
        releaseAbandoned,
      );
      if (lease === null || (!lease.ok && lease.error.kind !== 'unavailable')) {
        const error = lease === null ? CANCELLED : lease.error;
        return createFailure(isOpen ? {kind: 'outcomeUnknown'} : error);
      }
      if (lease.ok) {
        const run = await this.runPlan(context, requestKey, lease.value);
        const result = this.handleOutcome(context, run);
        if (result !== null) {
          return result;
        }
        isOpen ||= run.outcome.kind === 'unknown';
        context.group.view.reportConnectionLoss(primary.value);
      }
      if (clock.nowMs() + SETTLE_PAUSE_MS >= context.deadlineMs) {
        return createFailure(isOpen ? {kind: 'outcomeUnknown'} : UNAVAILABLE);
      }
      await pause(clock, SETTLE_PAUSE_MS);
    }
  }

  private async runPlan(
    context: StatementContext,
    requestKey: string,
    lease: ConnectionLease,
  ): Promise<PlanRun> {
    const {connection} = lease;
    const applied = await applyParameters(
      connection,
      context.session.parameters,
    );
    if (!applied.ok || !context.running.attach(connection)) {
      lease.release();
      return {outcome: {kind: 'notRun'}, answer: null, position: null};
    }
    const plan = CompletionPlan.create(
      {
        requestKey,
        statementHash: hashStatement(context.request.getFingerprint()),
        nowMs: this.options.getWallClockMs(),
      },
      this.options.rules,
    );
    const run = await this.followPlan(context, plan, lease);
    context.running.detach();
    return run;
  }

  private async followPlan(
    context: StatementContext,
    plan: CompletionPlan,
    lease: ConnectionLease,
  ): Promise<PlanRun> {
    let step: CompletionStep = plan.start();
    let answer: CapturedAnswer | null = null;
    let position: LogPosition | null = null;
    for (;;) {
      switch (step.kind) {
        case 'send': {
          const sent = await sendStatements(context, lease, step.statements);
          answer = sent.requestAnswer ?? answer;
          step = plan.handleAnswers(sent.answers);
          break;
        }
        case 'waitForMajority': {
          position = step.position;
          lease.release();
          const {acknowledger} = this.options;
          const isHeld = await acknowledger.isHeldByMajority(context, position);
          step = plan.handleMajority(isHeld);
          break;
        }
        case 'finish':
          lease.release();
          return {outcome: step.outcome, answer, position};
        default:
          return exhaustiveSwitchError(step);
      }
    }
  }

  /** Answers the caller; null when another run has to settle the request. */
  private handleOutcome(
    context: StatementContext,
    run: PlanRun,
  ): ExecutionResult | null {
    const {outcome, answer, position} = run;
    switch (outcome.kind) {
      case 'executed':
        this.announce(context, position);
        writeFrames(context, answer?.frames ?? []);
        return createAnswered(false);
      case 'replayed': {
        const stored = decodeStoredAnswer(outcome.answer);
        if (stored === null) {
          return createFailure({kind: 'outcomeUnknown'});
        }
        this.announce(context, position);
        writeFrames(context, context.request.createReplay(stored));
        return createAnswered(false);
      }
      case 'failed':
        if (answer?.error && isInstanceRejection(answer.error)) {
          return null;
        }
        writeFrames(context, answer?.frames ?? []);
        return createAnswered(true);
      case 'requestKeyReused':
        return createFailure({kind: 'requestKeyReused'});
      case 'answerTooLarge':
        return createFailure({
          kind: 'notSupported',
          feature: 'so large an answer to a request with a request key',
        });
      case 'notRun':
      case 'unknown':
        return null;
      default:
        return exhaustiveSwitchError(outcome);
    }
  }

  private announce(
    context: StatementContext,
    position: LogPosition | null,
  ): void {
    if (position !== null) {
      this.options.acknowledger.announce(context, position);
    }
  }
}

const CANCELLED = {kind: 'cancelled'} as const;
const UNAVAILABLE = {kind: 'unavailable', retryAfterMs: 500} as const;

/** Sends the statements of a step in one go and waits for all answers. */
async function sendStatements(
  context: StatementContext,
  lease: ConnectionLease,
  statements: readonly PlannedStatement[],
): Promise<{
  readonly answers: readonly StatementAnswer[];
  readonly requestAnswer: CapturedAnswer | null;
}> {
  const {connection} = lease;
  const pending: Promise<CapturedAnswer>[] = [];
  for (const statement of statements) {
    const {chunks, plan} =
      statement.kind === 'own'
        ? {chunks: [serialize.query(statement.sql)], plan: null}
        : context.request.build(connection);
    const capture = AnswerCapture.create(plan, MAX_CAPTURED_BYTES);
    connection.start(chunks, capture);
    pending.push(capture.ended);
  }
  const captured = await Promise.all(pending);
  const answers: StatementAnswer[] = [];
  let requestAnswer: CapturedAnswer | null = null;
  for (const [index, answer] of captured.entries()) {
    const isRequest = statements[index]?.kind === 'request';
    answers.push(toStatementAnswer(answer, isRequest));
    if (isRequest) {
      requestAnswer = answer;
    }
  }
  return {answers, requestAnswer};
}

function toStatementAnswer(
  answer: CapturedAnswer,
  isRequest: boolean,
): StatementAnswer {
  if (answer.isLost) {
    return {kind: 'lost'};
  }
  if (answer.error !== null) {
    return {kind: 'failed', sqlState: answer.error.sqlState};
  }
  return {
    kind: 'completed',
    rows: isRequest ? [] : readTextRows(answer),
    position: answer.position,
    storedAnswer: isRequest ? encodeWhole(answer) : null,
  };
}

/** Stored form of an answer; one that was cut off counts as too large. */
function encodeWhole(answer: CapturedAnswer): string {
  return answer.isCutOff
    ? 'x'.repeat(MAX_CAPTURED_BYTES)
    : encodeStoredAnswer(answer.frames);
}

function writeFrames(
  context: StatementContext,
  frames: readonly Buffer[],
): void {
  for (const frame of frames) {
    context.output.write(frame);
  }
}

function createAnswered(hasError: boolean): ExecutionResult {
  return {kind: 'answered', status: 'idle', lease: null, hasError};
}
