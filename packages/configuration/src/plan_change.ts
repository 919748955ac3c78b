import {failure, success, type Result} from '@filbertrun/base/result.js';
import {
  configurationSchema,
  EMPTY_CONFIGURATION,
  type Configuration,
} from '@filbertrun/model/configuration.js';
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {applyChange, describeApplyError} from './apply_change.js';
import {computeObjectName, encodeBody} from './configuration_body.js';
import {
  describeChange,
  doPartsOverlap,
  getChangedParts,
  type ChangeRequest,
  type ConfigurationChange,
} from './configuration_change.js';
import {
  appendRecordedChange,
  type ConfigurationPointer,
  type RecordedChange,
} from './configuration_pointer.js';

/**
 * Validates a requested change against the accepted configuration, detects
 * conflicts and creates the new version.
 *
 * @public
 */

/**
 * A configuration and its pointer, which is null before the first accepted
 * change.
 *
 * @public
 */
export interface HeldConfiguration {
  readonly pointer: ConfigurationPointer | null;
  readonly configuration: Configuration;
}

/** State before the first accepted change. @public */
export const INITIAL_CONFIGURATION_STATE: HeldConfiguration = {
  pointer: null,
  configuration: EMPTY_CONFIGURATION,
};

/** Response to a successful change request. @public */
export interface ChangeReceipt {
  readonly changeId: string;
  /** Version from which the change is in force. */
  readonly version: number;
  readonly objectName: string;
  /**
   * `repeated`: accepted earlier; `unchanged`: no effect, nothing was written.
   */
  readonly effect: 'accepted' | 'repeated' | 'unchanged';
}

/**
 * Why a change was refused; retrying the same request does not help.
 *
 * @public
 */
export type ChangeRefusal =
  | {readonly kind: 'conflict'; readonly winner: RecordedChange}
  | {readonly kind: 'baseTooOld'; readonly oldestKnownVersion: number}
  | {readonly kind: 'baseInFuture'; readonly currentVersion: number}
  | {readonly kind: 'changeIdReused'; readonly earlier: RecordedChange}
  | {readonly kind: 'invalid'; readonly reason: string};

/**
 * What to do for a requested change: only respond, or write and respond.
 *
 * @public
 */
export type ChangePlan =
  | {readonly kind: 'respond'; readonly receipt: ChangeReceipt}
  | {
      readonly kind: 'write';
      readonly pointer: ConfigurationPointer;
      readonly body: string;
      readonly receipt: ChangeReceipt;
    };

/** Plans a change of the held configuration. @public */
export function planChange(
  held: HeldConfiguration,
  request: ChangeRequest,
): Result<ChangePlan, ChangeRefusal> {
  const repeated = findRepeatedChange(held, request);
  if (repeated !== null) {
    return repeated;
  }
  const refusal = checkBase(held, request);
  if (refusal !== null) {
    return failure(refusal);
  }
  const applied = applyChange(held.configuration, request.change);
  if (!applied.ok) {
    const reason = describeApplyError(applied.error);
    return failure({kind: 'invalid', reason});
  }
  if (applied.value === held.configuration) {
    const receipt = createReceipt(held, request.changeId, 'unchanged');
    return success({kind: 'respond', receipt});
  }
  const checked = configurationSchema.safeParse(applied.value);
  if (!checked.success) {
    const reason = z.prettifyError(checked.error);
    return failure({kind: 'invalid', reason});
  }
  return success(createWrite(held, request, checked.data));
}

/** Describes a refusal for an operator. @public */
export function describeRefusal(refusal: ChangeRefusal): string {
  switch (refusal.kind) {
    case 'conflict':
      return `change ${refusal.winner.changeId} won with version ${refusal.winner.version}: ${refusal.winner.summary}`;
    case 'baseTooOld':
      return `the base version is older than version ${refusal.oldestKnownVersion}, the oldest whose changes are known`;
    case 'baseInFuture':
      return `the base version is newer than the current version ${refusal.currentVersion}`;
    case 'changeIdReused':
      return `the change id was used for another change, version ${refusal.earlier.version}: ${refusal.earlier.summary}`;
    case 'invalid':
      return refusal.reason;
  }
}

function findRepeatedChange(
  held: HeldConfiguration,
  request: ChangeRequest,
): Result<ChangePlan, ChangeRefusal> | null {
  const earlier = held.pointer?.changes.find(
    recorded => recorded.changeId === request.changeId,
  );
  if (earlier === undefined) {
    return null;
  }
  if (earlier.digest !== computeChangeDigest(request.change)) {
    return failure({kind: 'changeIdReused', earlier});
  }
  const receipt: ChangeReceipt = {
    ...createReceipt(held, request.changeId, 'repeated'),
    version: earlier.version,
  };
  return success({kind: 'respond', receipt});
}

function checkBase(
  held: HeldConfiguration,
  request: ChangeRequest,
): ChangeRefusal | null {
  const {baseVersion} = request;
  const currentVersion = held.configuration.version;
  if (baseVersion === null || baseVersion === currentVersion) {
    return null;
  }
  if (baseVersion > currentVersion) {
    return {kind: 'baseInFuture', currentVersion};
  }
  const changes = held.pointer?.changes ?? [];
  const oldestKnownVersion = (changes[0]?.version ?? 1) - 1;
  if (baseVersion < oldestKnownVersion) {
    return {kind: 'baseTooOld', oldestKnownVersion};
  }
  const parts = getChangedParts(request.change);
  for (const winner of changes) {
    if (winner.version > baseVersion && doPartsOverlap(winner.parts, parts)) {
      return {kind: 'conflict', winner};
    }
  }
  return null;
}

function createWrite(
  held: HeldConfiguration,
  request: ChangeRequest,
  configuration: Configuration,
): ChangePlan {
  const body = encodeBody(configuration);
  const objectName = computeObjectName(body);
  const {changeId, change} = request;
  const {version} = configuration;
  const changes = appendRecordedChange(
    held.pointer?.changes ?? [],
    {
      changeId,
      version,
      digest: computeChangeDigest(change),
      parts: getChangedParts(change),
      summary: describeChange(change).slice(0, 400),
    },
    change,
  );
  return {
    kind: 'write',
    pointer: {schemaVersion: 1, version, objectName, changes},
    body,
    receipt: {changeId, version, objectName, effect: 'accepted'},
  };
}

function createReceipt(
  held: HeldConfiguration,
  changeId: string,
  effect: ChangeReceipt['effect'],
): ChangeReceipt {
  return {
    changeId,
    version: held.configuration.version,
    objectName:
      held.pointer?.objectName ??
      computeObjectName(encodeBody(held.configuration)),
    effect,
  };
}

/**
 * Computes a hash to check if two requests with the same id have the same
 * change.
 */
function computeChangeDigest(change: ConfigurationChange): string {
  return createHash('sha256')
    .update(JSON.stringify(change))
    .digest('hex')
    .slice(0, 16);
}
