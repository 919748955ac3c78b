import type {PreparedStatement} from '../statement/caller_statement.js';
import type {StatementReply} from '../statement/statement_answer.js';
import {describeCallerError} from '@filbertrun/model/outcome.js';
import {
  createSignature,
  type HistoryInstances,
  type HistoryRun,
} from './history_instances.js';

/** Checks a history by what its callers and its instances have seen. */

/** A statement that a caller has sent. @internal */
export interface HistoryAttempt {
  readonly requestId: string;
  readonly sessionId: number;
  readonly kind: string;
  readonly isWrite: boolean;
  readonly route: string;
  /** Null for a caller without a customer. */
  readonly customer: string | null;
  /** Session values and prepared statement when it was sent. */
  readonly values: ReadonlyMap<string, string>;
  readonly prepared: PreparedStatement | null;
  /** Position of the last commit of the session that was acknowledged. */
  readonly floor: number;
  /** The transaction to which it belongs, also for `begin`; null for none. */
  readonly transaction: HistoryTransaction | null;
  /** Null while it is pending, and if the caller has left. */
  reply: StatementReply | null;
}

/** A transaction as its caller knows it. @internal */
export interface HistoryTransaction {
  readonly begin: string;
}

/** What the callers have sent and received. @internal */
export type HistoryAttempts = ReadonlyMap<string, HistoryAttempt>;

/** Returns the rules that a history has broken, each described. @internal */
export function findViolations(
  attempts: HistoryAttempts,
  instances: HistoryInstances,
): readonly string[] {
  return HistoryOracle.create(attempts, instances).check();
}

class HistoryOracle {
  private readonly violations: string[] = [];
  private readonly runsByRequest = new Map<string, HistoryRun[]>();
  private readonly commitCounts = new Map<string, number>();
  private readonly endings = new Map<HistoryTransaction, HistoryAttempt>();

  private constructor(
    private readonly attempts: HistoryAttempts,
    private readonly instances: HistoryInstances,
  ) {
    for (const run of instances.runs) {
      const runs = this.runsByRequest.get(run.requestId) ?? [];
      runs.push(run);
      this.runsByRequest.set(run.requestId, runs);
    }
    for (const attempt of attempts.values()) {
      if (attempt.kind === 'commit' && attempt.transaction !== null) {
        this.endings.set(attempt.transaction, attempt);
      }
    }
    for (const requestId of instances.commits) {
      const count = this.commitCounts.get(requestId) ?? 0;
      this.commitCounts.set(requestId, count + 1);
    }
  }

  static create(
    attempts: HistoryAttempts,
    instances: HistoryInstances,
  ): HistoryOracle {
    return new HistoryOracle(attempts, instances);
  }

  check(): readonly string[] {
    for (const run of this.instances.runs) {
      this.checkRun(run);
    }
    this.checkConnections();
    for (const attempt of this.attempts.values()) {
      this.checkAttempt(attempt);
    }
    return this.violations;
  }

  private report(rule: string, detail: string): void {
    this.violations.push(`${rule}: ${detail}`);
  }

  private checkRun(run: HistoryRun): void {
    const attempt = this.attempts.get(run.requestId);
    if (attempt === undefined) {
      this.report('unknown request', run.requestId);
      return;
    }
    // The shared identity of a proxy is its name.
    const identity = attempt.customer ?? run.proxy;
    if (run.identity !== identity) {
      this.report(
        'identity',
        `${run.requestId} of ${identity} on a connection of ${run.identity}`,
      );
    }
    if (!areEqualMaps(run.values, attempt.values)) {
      this.report('session values', run.requestId);
    }
    if (!isSamePrepared(run.prepared, attempt.prepared)) {
      this.report('prepared statement', run.requestId);
    }
    this.checkFloor(run, attempt);
    // Reads in a transaction follow the lease under which it began.
    const isStrictRead =
      attempt.route === 'strict' &&
      (run.kind === 'begin' || !isInside(attempt));
    const isAllowed = run.backendServer === 'p' && run.hadLease;
    if (isStrictRead && !attempt.isWrite && !isAllowed) {
      this.report(
        'strict read without lease',
        `${run.requestId} at ${run.backendServer} by ${run.proxy}`,
      );
    }
  }

  /** A session sees its own commits, unless its route is one of data age. */
  private checkFloor(run: HistoryRun, attempt: HistoryAttempt): void {
    const isChecked =
      attempt.route !== 'age' && !attempt.isWrite && !isInside(attempt);
    if (isChecked && run.position < attempt.floor) {
      this.report(
        'session floor',
        `${run.requestId} at ${run.position}, below ${attempt.floor}`,
      );
    }
  }

  private checkConnections(): void {
    const owners = new Map<string, string>();
    const customers = new Map<number, string | null>();
    for (const {connectionId, transaction, requestId} of this.instances.runs) {
      const attempt = this.attempts.get(requestId);
      if (attempt === undefined) {
        continue;
      }
      const {customer} = attempt;
      const previous = customers.get(connectionId);
      customers.set(connectionId, customer);
      if (previous !== undefined && previous !== customer) {
        this.report('connection of two customers', requestId);
      }
      if (transaction !== null) {
        const key = `${connectionId}/${transaction}`;
        const owner = owners.get(key) ?? attempt.transaction?.begin ?? '';
        owners.set(key, owner);
        if (owner !== attempt.transaction?.begin) {
          this.report(
            'foreign statement in a transaction',
            `${requestId} in the transaction of ${owner}`,
          );
        }
      }
    }
  }

  private checkAttempt(attempt: HistoryAttempt): void {
    const {requestId, reply, isWrite, kind} = attempt;
    const runs = this.runsByRequest.get(requestId) ?? [];
    if ((isWrite || kind === 'commit') && runs.length > 1) {
      this.report('write run twice', `${requestId}, ${runs.length} runs`);
    }
    if ((this.commitCounts.get(requestId) ?? 0) > 1) {
      this.report('write committed twice', requestId);
    }
    if (isInside(attempt)) {
      this.checkPlace(attempt, runs);
    }
    if (reply?.result.kind === 'complete') {
      this.checkSignature(attempt, reply.result.signature, runs);
    }
    if (isWrite) {
      this.checkWrite(attempt);
    }
  }

  /** All statements of a transaction run where its `begin` was answered. */
  private checkPlace(
    attempt: HistoryAttempt,
    runs: readonly HistoryRun[],
  ): void {
    const {requestId, transaction} = attempt;
    const begin = this.attempts.get(transaction?.begin ?? '');
    const result = begin?.reply?.result;
    const beginRun = this.runsByRequest
      .get(begin?.requestId ?? '')
      ?.find(
        run =>
          result?.kind === 'complete' &&
          result.signature === createSignature(run.requestId, run.serial),
      );
    for (const run of runs) {
      const isSame =
        run.connectionId === beginRun?.connectionId &&
        run.transaction === beginRun.transaction;
      if (!isSame) {
        this.report('statement outside its transaction', requestId);
      }
    }
  }

  private checkSignature(
    {requestId}: HistoryAttempt,
    signature: string,
    runs: readonly HistoryRun[],
  ): void {
    const isKnown = runs.some(
      run => createSignature(requestId, run.serial) === signature,
    );
    if (!isKnown) {
      this.report('signature', `${requestId} was answered with ${signature}`);
    }
  }

  private checkWrite(attempt: HistoryAttempt): void {
    const {requestId, transaction} = attempt;
    const isCommitted = this.commitCounts.has(requestId);
    const outcome = getOutcome(attempt.reply);
    const end = transaction === null ? outcome : this.findEnd(transaction);
    if (isCommitted && (outcome === 'notRun' || end === 'notRun')) {
      this.report('committed, reported as not run', requestId);
    }
    if (!isCommitted && outcome === 'done' && end === 'done') {
      this.report('acknowledged, not committed', requestId);
    }
  }

  /** What the caller of a transaction knows about its commit. */
  private findEnd(transaction: HistoryTransaction): Outcome {
    const ending = this.endings.get(transaction);
    return ending === undefined ? 'notRun' : getOutcome(ending.reply);
  }
}

type Outcome = 'done' | 'notRun' | 'unknown';

function getOutcome(reply: StatementReply | null): Outcome {
  if (reply === null) {
    return 'unknown';
  }
  switch (reply.result.kind) {
    case 'complete':
      return 'done';
    case 'rejected':
    case 'local':
      return 'notRun';
    case 'error':
      return describeCallerError(reply.result.error).outcome;
  }
}

function isInside({kind, transaction}: HistoryAttempt): boolean {
  return transaction !== null && kind !== 'begin';
}

function isSamePrepared(
  left: PreparedStatement | null,
  right: PreparedStatement | null,
): boolean {
  return (
    left?.access === right?.access &&
    left?.definitionText === right?.definitionText
  );
}

function areEqualMaps(
  left: ReadonlyMap<string, string>,
  right: ReadonlyMap<string, string>,
): boolean {
  if (left.size !== right.size) {
    return false;
  }
  for (const [name, value] of left) {
    if (right.get(name) !== value) {
      return false;
    }
  }
  return true;
}
