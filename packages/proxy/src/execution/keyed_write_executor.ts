import type {Clock} from '@filbertrun/base/clock.js';
import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import {sleep} from '@filbertrun/base/sleep.js';
import type {CompletionRules} from '@filbertrun/completion/completion_rules.js';
import {
  CompletionPlan,
  type CompletionOutcome,
  type CompletionStep,
  type PlannedStatement,
  type StatementResponse,
} from '@filbertrun/completion/completion_plan.js';
import {hashStatement} from '@filbertrun/completion/statement_hash.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import {serialize} from 'pg-protocol';
import type {WriteAcknowledger} from './acknowledgement.js';
import {isInstanceRejection} from './backend_rejection.js';
import {
  ResponseCapture,
  readTextRows,
  type CapturedResponse,
} from './captured_response.js';
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

/**
 * Maximum size of a captured response. A longer response is too large for the
 * completion record in any case.
 */
const MAX_CAPTURED_BYTES = 256 * 1024;

/** Pause before a request that did not complete is run again. */
const RETRY_PAUSE_MS = 50;

/** Dependencies of the executor. @public */
export interface KeyedWriteExecutorOptions {
  readonly clock: Clock;
  /** Milliseconds since the Unix epoch; used only for retention. */
  readonly getWallClockMs: () => number;
  readonly acknowledger: WriteAcknowledger;
  readonly waitQueue: PrimaryWaitQueue;
  readonly rules: CompletionRules;
}

/** Result of one run of a completion plan. */
interface PlanRun {
  readonly outcome: CompletionOutcome;
  /** Response to the request itself, if this run sent it. */
  readonly response: CapturedResponse | null;
  readonly position: LogPosition | null;
}

/**
 * Runs writes that have an idempotency key. The completion record, a row that is
 * committed together with the write, makes it safe to repeat a request. After a
 * lost response the request is therefore run again to determine its outcome.
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
    // Whether an earlier attempt may have taken effect.
    let mayHaveRun = false;
    for (;;) {
      const primary = await waitQueue.getPrimary(context);
      if (!primary.ok) {
        return createFailure(
          mayHaveRun ? {kind: 'outcomeUnknown'} : primary.error,
        );
      }
      const lease = await context.running.waitUnlessCancelled(
        context.group.acquire(primary.value, context),
        releaseAbandoned,
      );
      if (lease === null || (!lease.ok && lease.error.kind !== 'unavailable')) {
        const error = lease === null ? CANCELLED : lease.error;
        return createFailure(mayHaveRun ? {kind: 'outcomeUnknown'} : error);
      }
      if (lease.ok) {
        const run = await this.runPlan(context, requestKey, lease.value);
        const result = this.handleOutcome(context, run);
        if (result !== null) {
          return result;
        }
        mayHaveRun ||= run.outcome.kind === 'unknown';
        context.group.state.reportConnectionLoss(primary.value);
      }
      if (clock.nowMs() + RETRY_PAUSE_MS >= context.deadlineMs) {
        return createFailure(
          mayHaveRun ? {kind: 'outcomeUnknown'} : UNAVAILABLE,
        );
      }
      await sleep(clock, RETRY_PAUSE_MS);
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
      return {outcome: {kind: 'notRun'}, response: null, position: null};
    }
    const plan = CompletionPlan.create(
      {
        requestKey,
        statementHash: hashStatement(context.request.getFingerprint()),
        nowMs: this.options.getWallClockMs(),
      },
      this.options.rules,
    );
    const run = await this.executePlan(context, plan, lease);
    context.running.detach();
    return run;
  }

  private async executePlan(
    context: StatementContext,
    plan: CompletionPlan,
    lease: ConnectionLease,
  ): Promise<PlanRun> {
    let step: CompletionStep = plan.start();
    let response: CapturedResponse | null = null;
    let position: LogPosition | null = null;
    for (;;) {
      switch (step.kind) {
        case 'send': {
          const sent = await sendStatements(context, lease, step.statements);
          response = sent.responseToRequest ?? response;
          step = plan.handleResponses(sent.responses);
          break;
        }
        case 'waitForMajority': {
          position = step.position;
          lease.release();
          const {acknowledger} = this.options;
          const isReplicated = await acknowledger.waitForMajority(
            context,
            position,
          );
          step = plan.handleMajority(isReplicated);
          break;
        }
        case 'finish':
          lease.release();
          return {outcome: step.outcome, response, position};
        default:
          return exhaustiveSwitchError(step);
      }
    }
  }

  /**
   * Sends the response to the caller. Returns null if the request must be run
   * again to determine its outcome.
   */
  private handleOutcome(
    context: StatementContext,
    run: PlanRun,
  ): ExecutionResult | null {
    const {outcome, response, position} = run;
    switch (outcome.kind) {
      case 'executed':
        this.sendSessionToken(context, position);
        writeFrames(context, response?.frames ?? []);
        return createAnswered(false);
      case 'replayed': {
        const stored = decodeStoredAnswer(outcome.answer);
        if (stored === null) {
          return createFailure({kind: 'outcomeUnknown'});
        }
        this.sendSessionToken(context, position);
        writeFrames(context, context.request.createReplay(stored));
        return createAnswered(false);
      }
      case 'failed':
        if (response?.error && isInstanceRejection(response.error)) {
          return null;
        }
        writeFrames(context, response?.frames ?? []);
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

  private sendSessionToken(
    context: StatementContext,
    position: LogPosition | null,
  ): void {
    if (position !== null) {
      this.options.acknowledger.sendSessionToken(context, position);
    }
  }
}

const CANCELLED = {kind: 'cancelled'} as const;
const UNAVAILABLE = {kind: 'unavailable', retryAfterMs: 500} as const;

/** Sends the statements of a step as a pipeline and waits for all responses. */
async function sendStatements(
  context: StatementContext,
  lease: ConnectionLease,
  statements: readonly PlannedStatement[],
): Promise<{
  readonly responses: readonly StatementResponse[];
  readonly responseToRequest: CapturedResponse | null;
}> {
  const {connection} = lease;
  const pending: Promise<CapturedResponse>[] = [];
  for (const statement of statements) {
    const {chunks, plan} =
      statement.kind === 'internal'
        ? {chunks: [serialize.query(statement.sql)], plan: null}
        : context.request.build(connection);
    const capture = ResponseCapture.create(plan, MAX_CAPTURED_BYTES);
    connection.start(chunks, capture);
    pending.push(capture.ended);
  }
  const captured = await Promise.all(pending);
  const responses: StatementResponse[] = [];
  let responseToRequest: CapturedResponse | null = null;
  for (const [index, response] of captured.entries()) {
    const isRequest = statements[index]?.kind === 'request';
    responses.push(toStatementResponse(response, isRequest));
    if (isRequest) {
      responseToRequest = response;
    }
  }
  return {responses, responseToRequest};
}

function toStatementResponse(
  response: CapturedResponse,
  isRequest: boolean,
): StatementResponse {
  if (response.isLost) {
    return {kind: 'lost'};
  }
  if (response.error !== null) {
    return {kind: 'failed', sqlState: response.error.sqlState};
  }
  return {
    kind: 'completed',
    rows: isRequest ? [] : readTextRows(response),
    position: response.position,
    storedAnswer: isRequest ? encodeCaptured(response) : null,
  };
}

/**
 * Encodes a response for the completion record. For a truncated response the
 * result is so long that the plan treats it as too large.
 */
function encodeCaptured(response: CapturedResponse): string {
  return response.isTruncated
    ? 'x'.repeat(MAX_CAPTURED_BYTES)
    : encodeStoredAnswer(response.frames);
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
