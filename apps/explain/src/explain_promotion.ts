import {
  comparePositions,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {LogRecord} from '@filbertrun/observability/log_record.js';
import {byTime} from './format_record.js';
import {
  choiceSchema,
  completionSchema,
  effectSchema,
  intentSchema,
  orderSchema,
  releaseSchema,
  writeSchema,
  type LoggedChoice,
} from './promotion_fields.js';

/** How long before a change other records are included. */
const CONTEXT_BEFORE_MS = 15_000;

/** How long after a change other records are included. */
const CONTEXT_AFTER_MS = 2_000;

/** Time for which an instance that was removed counts as one of the group. */
const REMOVED_MS = 60_000;

/** Records of processes and instances that are shown around a change. */
const CONTEXT_EVENTS: ReadonlySet<string> = new Set([
  'started',
  'stopping',
  'stopped',
  'clockDisagreement',
  'dutyGained',
  'dutyLost',
  'storeRestored',
  'backendServerRestarted',
  'backendServerLapsed',
  'backendServerGone',
  'primaryBelieved',
  'logLinesDropped',
]);

/** A write that a caller was told is committed. @public */
export interface AcknowledgedWrite {
  readonly timeMs: number;
  readonly entryVm: string;
  readonly requestId: string;
  readonly backendServer: string;
  readonly position: LogPosition;
}

/** An instance of the group that a choice did not know. @public */
export interface MissingInstance {
  readonly backendServer: string;
  /** Last record before the choice that names it. */
  readonly lastRecord: LogRecord;
}

/** A position that a proxy reported with its release. @public */
export interface ReleasedPosition {
  readonly entryVm: string;
  readonly position: LogPosition;
}

/** History of one change of primary. @public */
export interface PromotionHistory {
  readonly databaseGroup: string;
  readonly changeId: string;
  /** Records that carry the id of the change, in order of time. */
  readonly steps: readonly LogRecord[];
  /** Other records around that time, about processes and the group. */
  readonly context: readonly LogRecord[];
  /** End of the log for which the target was chosen; null if not logged. */
  readonly chosenEnd: LogPosition | null;
  /** Null if the choice was not logged. */
  readonly missingInstances: readonly MissingInstance[] | null;
  /** Number of acknowledged writes of the old terms in the log. */
  readonly oldWriteCount: number;
  /** Those beyond the chosen end, which the new primary lacks. */
  readonly lackingWrites: readonly AcknowledgedWrite[];
  /** Positions beyond the chosen end in releases. */
  readonly lackingReleases: readonly ReleasedPosition[];
}

/**
 * Collects the changes of primary of a group from the logs of all proxies, in
 * order of time.
 *
 * @public
 */
export function explainPromotions(
  records: readonly LogRecord[],
  databaseGroup: string,
): readonly PromotionHistory[] {
  const sorted = [...records].sort(byTime);
  const ofGroup = sorted.filter(
    ({fields}) => fields['databaseGroup'] === databaseGroup,
  );
  const byChange = new Map<string, LogRecord[]>();
  for (const record of ofGroup) {
    const {changeId} = record.fields;
    if (typeof changeId === 'string' && changeId !== '') {
      const steps = byChange.get(changeId) ?? [];
      steps.push(record);
      byChange.set(changeId, steps);
    }
  }
  return [...byChange].map(([changeId, steps]) =>
    explainChange({databaseGroup, changeId, steps, ofGroup, sorted}),
  );
}

interface ChangeRecords {
  readonly databaseGroup: string;
  readonly changeId: string;
  readonly steps: readonly LogRecord[];
  readonly ofGroup: readonly LogRecord[];
  readonly sorted: readonly LogRecord[];
}

function explainChange(records: ChangeRecords): PromotionHistory {
  const {databaseGroup, changeId, steps, ofGroup} = records;
  const choice = findChoice(steps);
  const chosenEnd = choice?.fields.position ?? findOrderedEnd(steps);
  const oldTerm = choice?.fields.oldTerm ?? findOldTerm(steps);
  const oldWrites = listWrites(ofGroup).filter(
    ({position}) => oldTerm !== null && position.term <= oldTerm,
  );
  const isLacking = (position: LogPosition) =>
    chosenEnd !== null &&
    oldTerm !== null &&
    position.term <= oldTerm &&
    comparePositions(position, chosenEnd) > 0;
  return {
    databaseGroup,
    changeId,
    steps,
    context: findContext(records),
    chosenEnd,
    missingInstances:
      choice === null
        ? null
        : findMissing(ofGroup, choice.record.timeMs, choice.fields),
    oldWriteCount: oldWrites.length,
    lackingWrites: oldWrites.filter(({position}) => isLacking(position)),
    lackingReleases: listReleased(steps).filter(({position}) =>
      isLacking(position),
    ),
  };
}

/** The choice whose target became primary, else the last one. */
function findChoice(steps: readonly LogRecord[]): {
  readonly record: LogRecord;
  readonly fields: LoggedChoice;
} | null {
  const promoted = findPromoted(steps);
  const choices = steps
    .filter(({event}) => event === 'promotionTargetChosen')
    .flatMap(record => {
      const parsed = choiceSchema.safeParse(record.fields);
      return parsed.success ? [{record, fields: parsed.data}] : [];
    });
  return (
    choices.findLast(({fields}) => fields.target === promoted) ??
    choices.at(-1) ??
    null
  );
}

/** The instance that became primary; null if it is not logged. */
function findPromoted(steps: readonly LogRecord[]): string | null {
  for (const {event, fields} of steps) {
    if (event === 'promotionSeen') {
      return effectSchema.safeParse(fields).data?.target ?? null;
    }
    if (event === 'changeCompleted') {
      return completionSchema.safeParse(fields).data?.primary ?? null;
    }
  }
  return null;
}

/** End of the log that the last order names, for logs without the choice. */
function findOrderedEnd(steps: readonly LogRecord[]): LogPosition | null {
  const order = steps.findLast(({event}) => event === 'promotionOrdered');
  return orderSchema.safeParse(order?.fields).data?.position ?? null;
}

function findOldTerm(steps: readonly LogRecord[]): number | null {
  const intent = steps.find(({event}) => event === 'changeIntended');
  return intentSchema.safeParse(intent?.fields).data?.term ?? null;
}

function listWrites(
  records: readonly LogRecord[],
): readonly AcknowledgedWrite[] {
  const writes: AcknowledgedWrite[] = [];
  for (const {event, fields, timeMs, entryVm} of records) {
    const parsed =
      event === 'writeAcknowledged' ? writeSchema.safeParse(fields) : null;
    if (parsed?.success === true) {
      writes.push({timeMs, entryVm, ...parsed.data});
    }
  }
  return writes;
}

function listReleased(
  steps: readonly LogRecord[],
): readonly ReleasedPosition[] {
  const released: ReleasedPosition[] = [];
  for (const {event, fields, entryVm} of steps) {
    const position =
      event === 'leaseReleased'
        ? releaseSchema.safeParse(fields).data?.highestAcknowledged
        : null;
    if (position !== null && position !== undefined) {
      released.push({entryVm, position});
    }
  }
  return released;
}

/** Instances of the group that earlier records name and the choice does not. */
function findMissing(
  ofGroup: readonly LogRecord[],
  choiceTimeMs: number,
  {instances}: LoggedChoice,
): readonly MissingInstance[] {
  const lastRecords = new Map<string, LogRecord>();
  for (const record of ofGroup) {
    const {backendServer} = record.fields;
    if (record.timeMs < choiceTimeMs && typeof backendServer === 'string') {
      lastRecords.set(backendServer, record);
    }
  }
  for (const {backendServer} of instances) {
    lastRecords.delete(backendServer);
  }
  const missing: MissingInstance[] = [];
  for (const [backendServer, lastRecord] of lastRecords) {
    const isLongGone =
      lastRecord.event === 'backendServerGone' &&
      choiceTimeMs - lastRecord.timeMs > REMOVED_MS;
    if (!isLongGone) {
      missing.push({backendServer, lastRecord});
    }
  }
  return missing;
}

function findContext({
  databaseGroup,
  steps,
  sorted,
}: ChangeRecords): readonly LogRecord[] {
  const startMs = (steps[0]?.timeMs ?? 0) - CONTEXT_BEFORE_MS;
  const endMs = (steps.at(-1)?.timeMs ?? 0) + CONTEXT_AFTER_MS;
  return sorted.filter(({timeMs, event, fields}) => {
    const group = fields['databaseGroup'];
    return (
      timeMs >= startMs &&
      timeMs <= endMs &&
      CONTEXT_EVENTS.has(event) &&
      (group === undefined || group === databaseGroup)
    );
  });
}
