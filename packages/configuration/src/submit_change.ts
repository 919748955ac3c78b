import type {Clock} from '@filbertrun/base/clock.js';
import {sleep} from '@filbertrun/base/sleep.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {
  CONFIGURATION_KEY,
  type ObjectStore,
  type PlatformError,
  type PlatformTable,
  type TableEntry,
} from '@filbertrun/platform/platform_service.js';
import {parseBody} from './configuration_body.js';
import type {ChangeRequest} from './configuration_change.js';
import {encodePointer, parsePointer} from './configuration_pointer.js';
import {
  NOTHING_ACCEPTED,
  planChange,
  type ChangePlan,
  type ChangeReceipt,
  type ChangeRefusal,
  type HeldConfiguration,
} from './plan_change.js';

/**
 * Accepts a change by a conditional write to the platform's table.
 *
 * @public
 */

/** Why a change was not accepted, or not known to be. @public */
export type ChangeError =
  | ChangeRefusal
  /** The change was not accepted and will not be without another request. */
  | {readonly kind: 'unavailable'; readonly reason: string}
  /** The change may be or become accepted; repeat it with the same id. */
  | {readonly kind: 'outcomeUnknown'; readonly reason: string};

/** What accepting a change needs. @public */
export interface SubmitDependencies {
  readonly platform: PlatformTable & ObjectStore;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Attempts before a change is given up. */
const MAX_ATTEMPTS = 8;

/** First delay between attempts; it doubles with each one. */
const FIRST_RETRY_DELAY_MS = 50;

/** Longest delay between attempts. */
const MAX_RETRY_DELAY_MS = 1000;

/**
 * Submits a change. Requests with the same change id are one change, so a
 * caller may repeat a request whose answer it did not get.
 *
 * A write whose answer was lost may still arrive later. Its expected revision
 * keeps it from overwriting another change, so it is settled once the key has
 * moved past that revision; until then the outcome stays unknown.
 *
 * @public
 */
export async function submitChange(
  request: ChangeRequest,
  dependencies: SubmitDependencies,
): Promise<Result<ChangeReceipt, ChangeError>> {
  const submission = ChangeSubmission.create(request, dependencies);
  return submission.run();
}

type AttemptResult =
  | {readonly kind: 'done'; readonly result: Result<ChangeReceipt, ChangeError>}
  | {readonly kind: 'retry'; readonly reason: string};

/** What is accepted now, with the revision that a write must name. @public */
export interface CurrentState {
  readonly held: HeldConfiguration;
  readonly revision: number;
}

class ChangeSubmission {
  /** Revision that an unanswered write expected, or null. */
  private unsettledRevision: number | null = null;
  private baseVersion: number | null;

  private constructor(
    private readonly request: ChangeRequest,
    private readonly dependencies: SubmitDependencies,
  ) {
    this.baseVersion = request.baseVersion;
  }

  static create(
    request: ChangeRequest,
    dependencies: SubmitDependencies,
  ): ChangeSubmission {
    return new ChangeSubmission(request, dependencies);
  }

  async run(): Promise<Result<ChangeReceipt, ChangeError>> {
    let reason = 'no attempt was made';
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0) {
        await this.waitBeforeRetry(attempt);
      }
      const outcome = await this.attempt();
      if (outcome.kind === 'done') {
        return outcome.result;
      }
      reason = outcome.reason;
    }
    const kind =
      this.unsettledRevision === null ? 'unavailable' : 'outcomeUnknown';
    return failure({kind, reason});
  }

  private async attempt(): Promise<AttemptResult> {
    const current = await readCurrent(this.dependencies.platform);
    if (!current.ok) {
      return createRetry(current.error);
    }
    const {held, revision} = current.value;
    if (this.unsettledRevision !== null && revision > this.unsettledRevision) {
      this.unsettledRevision = null;
    }
    // A change that is accepted meanwhile counts as a race from here on.
    this.baseVersion ??= held.configuration.version;
    const plan = planChange(held, {
      ...this.request,
      baseVersion: this.baseVersion,
    });
    if (!plan.ok) {
      return {kind: 'done', result: plan};
    }
    if (plan.value.kind === 'answer') {
      return {kind: 'done', result: success(plan.value.receipt)};
    }
    return this.write(plan.value, revision);
  }

  private async write(
    plan: Extract<ChangePlan, {kind: 'write'}>,
    expectedRevision: number,
  ): Promise<AttemptResult> {
    const {platform} = this.dependencies;
    const stored = await platform.putObject(plan.pointer.objectName, plan.body);
    if (!stored.ok) {
      return createRetry(stored.error);
    }
    const written = await platform.putEntry({
      key: CONFIGURATION_KEY,
      value: encodePointer(plan.pointer),
      expectedRevision,
    });
    if (written.ok) {
      return {kind: 'done', result: success(plan.receipt)};
    }
    if (written.error.kind === 'outcomeUnknown') {
      this.unsettledRevision = expectedRevision;
    }
    return createRetry(written.error);
  }

  private waitBeforeRetry(attempt: number): Promise<void> {
    const {clock, random} = this.dependencies;
    const longestMs = Math.min(
      MAX_RETRY_DELAY_MS,
      FIRST_RETRY_DELAY_MS * 2 ** attempt,
    );
    const delayMs = longestMs * (0.5 + 0.5 * random.nextFloat());
    return sleep(clock, delayMs);
  }
}

/** Reads what the platform's table names now. @public */
export async function readCurrent(
  platform: PlatformTable & ObjectStore,
): Promise<Result<CurrentState, PlatformError>> {
  const entry = await platform.getEntry(CONFIGURATION_KEY);
  if (!entry.ok) {
    return entry;
  }
  if (entry.value === null) {
    return success({held: NOTHING_ACCEPTED, revision: 0});
  }
  return readHeld(platform, entry.value);
}

async function readHeld(
  platform: ObjectStore,
  entry: TableEntry,
): Promise<Result<CurrentState, PlatformError>> {
  const pointer = parsePointer(entry.value);
  if (!pointer.ok) {
    return failure({kind: 'malformed', reason: pointer.error.reason});
  }
  const {objectName} = pointer.value;
  const body = await platform.getObject(objectName);
  if (!body.ok) {
    return body;
  }
  if (body.value === null) {
    return failure({kind: 'malformed', reason: `no object ${objectName}`});
  }
  const configuration = parseBody(body.value, objectName);
  if (!configuration.ok) {
    return failure({kind: 'malformed', reason: configuration.error.kind});
  }
  return success({
    held: {pointer: pointer.value, configuration: configuration.value},
    revision: entry.revision,
  });
}

function createRetry(error: PlatformError): AttemptResult {
  const reason =
    error.kind === 'conflict'
      ? 'lost a race'
      : `${error.kind}: ${error.reason}`;
  return {kind: 'retry', reason};
}
