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
  INITIAL_CONFIGURATION_STATE,
  planChange,
  type ChangePlan,
  type ChangeReceipt,
  type ChangeRefusal,
  type HeldConfiguration,
} from './plan_change.js';

/**
 * Submits changes of the configuration with conditional writes to the
 * platform's table.
 *
 * @public
 */

/** Why a change failed or its outcome is unknown. @public */
export type ChangeError =
  | ChangeRefusal
  /** The change was not accepted, and won't be without a new request. */
  | {readonly kind: 'unavailable'; readonly reason: string}
  /**
   * The change may have been accepted or may still be; retry with the same id.
   */
  | {readonly kind: 'outcomeUnknown'; readonly reason: string};

/** Dependencies of `submitChange`. @public */
export interface SubmitDependencies {
  readonly platform: PlatformTable & ObjectStore;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Maximum number of attempts to submit a change. */
const MAX_ATTEMPTS = 8;

/** Base of the exponential backoff between attempts. */
const INITIAL_RETRY_DELAY_MS = 50;

/** Maximum delay between attempts. */
const MAX_RETRY_DELAY_MS = 1000;

/**
 * Submits a change. Requests are idempotent by their change id, so a request
 * can be retried if its response was lost.
 *
 * A write whose response was lost may still be executed later. Its expected
 * revision prevents it from overwriting another change, so its outcome is final
 * as soon as the revision of the key is greater. Until then it is unknown.
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

/**
 * The accepted configuration and the expected revision for the next write.
 *
 * @public
 */
export interface AcceptedConfiguration {
  readonly held: HeldConfiguration;
  readonly revision: number;
}

class ChangeSubmission {
  /** Expected revision of a write with unknown outcome, or null. */
  private pendingWriteRevision: number | null = null;
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
      this.pendingWriteRevision === null ? 'unavailable' : 'outcomeUnknown';
    return failure({kind, reason});
  }

  private async attempt(): Promise<AttemptResult> {
    const current = await readAcceptedConfiguration(this.dependencies.platform);
    if (!current.ok) {
      return createRetry(current.error);
    }
    const {held, revision} = current.value;
    if (
      this.pendingWriteRevision !== null &&
      revision > this.pendingWriteRevision
    ) {
      this.pendingWriteRevision = null;
    }
    // Changes that are accepted between attempts are checked for conflicts.
    // Keep the version of the first attempt as the base for this.
    this.baseVersion ??= held.configuration.version;
    const plan = planChange(held, {
      ...this.request,
      baseVersion: this.baseVersion,
    });
    if (!plan.ok) {
      return {kind: 'done', result: plan};
    }
    if (plan.value.kind === 'respond') {
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
      this.pendingWriteRevision = expectedRevision;
    }
    return createRetry(written.error);
  }

  private waitBeforeRetry(attempt: number): Promise<void> {
    const {clock, random} = this.dependencies;
    const longestMs = Math.min(
      MAX_RETRY_DELAY_MS,
      INITIAL_RETRY_DELAY_MS * 2 ** attempt,
    );
    const delayMs = longestMs * (0.5 + 0.5 * random.nextFloat());
    return sleep(clock, delayMs);
  }
}

/** Reads the accepted configuration from the platform. @public */
export async function readAcceptedConfiguration(
  platform: PlatformTable & ObjectStore,
): Promise<Result<AcceptedConfiguration, PlatformError>> {
  const entry = await platform.getEntry(CONFIGURATION_KEY);
  if (!entry.ok) {
    return entry;
  }
  if (entry.value === null) {
    return success({held: INITIAL_CONFIGURATION_STATE, revision: 0});
  }
  return readHeld(platform, entry.value);
}

async function readHeld(
  platform: ObjectStore,
  entry: TableEntry,
): Promise<Result<AcceptedConfiguration, PlatformError>> {
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
