import type {LogRecord} from '@filbertrun/observability/log_record.js';

/**
 * Determines from the logs of the proxies why a statement was not served: the
 * step of a change of primary that was in progress in its database group, or
 * else a cause derived from the logged reason.
 */

/** What an unserved statement was waiting for. @public */
export type LossCause =
  /** The primary has failed and no change of primary has started yet. */
  | 'detection'
  /** Proxies release the old primary, instances are fenced, one is chosen. */
  | 'release and fence'
  | 'promotion'
  /** The lease of a proxy that may still read from the old primary. */
  | 'lease'
  | 'process start'
  | 'connection'
  /** The server rejected the statement, but not because of lag. */
  | 'slot'
  | 'lag of replicas'
  /** No backend server that could run the statement is reachable. */
  | 'servers out of reach'
  | 'lost connection'
  /** The customer has reached its limit. */
  | 'customer limit'
  /** No proxy that grants permits of the customer's limit has answered. */
  | 'quota owner out of reach'
  /** The caller's key was moved to another customer. */
  | 'key moved'
  | 'idle transaction'
  | 'other';

/** Span of time in which one cause applied to a database group. */
interface Phase {
  readonly cause: LossCause;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Time after a process start in which losses are attributed to the start. */
const PROCESS_START_MS = 3_000;

/** Longest detection time that losses of a group are attributed to. */
const MAX_DETECTION_MS = 2_000;

/** Finds the causes of unserved statements in the logs. @public */
export class LossCauseFinder {
  private readonly phases = new Map<string, Phase[]>();
  /** Process start times by entry VM. */
  private readonly starts = new Map<string, number[]>();

  private constructor(records: readonly LogRecord[]) {
    const unreachableSinceMs = new Map<string, number>();
    const openSteps = new Map<string, {cause: LossCause; fromMs: number}>();
    for (const record of records) {
      this.recordProcessStart(record);
      this.recordUnreachable(record, unreachableSinceMs);
      this.recordChangeStep(record, unreachableSinceMs, openSteps);
    }
  }

  /** The records must be in order of time. */
  static create(records: readonly LogRecord[]): LossCauseFinder {
    return new LossCauseFinder(records);
  }

  /** Returns the cause of an unserved statement from its log record. */
  find(record: LogRecord): LossCause {
    const reason = String(record.fields['reason'] ?? '');
    const databaseGroup = String(record.fields['databaseGroup'] ?? '');
    const phase = this.phases
      .get(databaseGroup)
      ?.find(
        ({fromMs, toMs}) => record.timeMs >= fromMs && record.timeMs <= toMs,
      );
    if (phase !== undefined && concernsPrimary(reason)) {
      return phase.cause;
    }
    const starts = this.starts.get(record.entryVm) ?? [];
    const hasJustStarted = starts.some(
      startMs =>
        record.timeMs >= startMs && record.timeMs < startMs + PROCESS_START_MS,
    );
    return hasJustStarted ? 'process start' : classifyReason(reason);
  }

  private recordProcessStart({event, entryVm, timeMs}: LogRecord): void {
    if (event === 'started') {
      const starts = this.starts.get(entryVm) ?? [];
      starts.push(timeMs);
      this.starts.set(entryVm, starts);
    }
  }

  private recordUnreachable(
    {event, timeMs, fields}: LogRecord,
    unreachableSinceMs: Map<string, number>,
  ): void {
    const server = fields['backendServer'];
    if (event === 'backendUnreachable' && typeof server === 'string') {
      unreachableSinceMs.set(server, timeMs);
    }
  }

  private recordChangeStep(
    {event, timeMs, fields}: LogRecord,
    unreachableSinceMs: ReadonlyMap<string, number>,
    openSteps: Map<string, {cause: LossCause; fromMs: number}>,
  ): void {
    const databaseGroup = String(fields['databaseGroup'] ?? '');
    const next = NEXT_STEPS.get(event);
    if (next === undefined) {
      return;
    }
    const openStep = openSteps.get(databaseGroup);
    if (openStep !== undefined) {
      this.addPhase(databaseGroup, {...openStep, toMs: timeMs});
    }
    if (event === 'changeIntended') {
      const serverSinceMs = unreachableSinceMs.get(
        String(fields['primary'] ?? ''),
      );
      const fromMs = Math.max(
        timeMs - MAX_DETECTION_MS,
        serverSinceMs ?? timeMs - MAX_DETECTION_MS,
      );
      this.addPhase(databaseGroup, {cause: 'detection', fromMs, toMs: timeMs});
    }
    const isWritable =
      event === 'changeCompleted' && isEmpty(fields['waitingFor']);
    if (next === null || isWritable) {
      openSteps.delete(databaseGroup);
    } else {
      openSteps.set(databaseGroup, {cause: next, fromMs: timeMs});
    }
  }

  private addPhase(databaseGroup: string, phase: Phase): void {
    const phases = this.phases.get(databaseGroup) ?? [];
    phases.push(phase);
    this.phases.set(databaseGroup, phases);
  }
}

/** Cause of losses after each event of a change of primary; null ends it. */
const NEXT_STEPS: ReadonlyMap<string, LossCause | null> = new Map([
  ['changeIntended', 'release and fence'],
  ['promotionOrdered', 'promotion'],
  ['changeCompleted', 'lease'],
  ['writesOpened', null],
  ['changeAbandoned', null],
]);

/** Whether the reason can result from a missing or unreachable primary. */
function concernsPrimary(reason: string): boolean {
  return (
    !reason.includes('rejected') &&
    !reason.includes('no server qualifies') &&
    !reason.startsWith('limit: ') &&
    !reason.includes('key')
  );
}

function isEmpty(value: unknown): boolean {
  return Array.isArray(value) && value.length === 0;
}

/** Causes by substring of the reason; the first match counts. */
const REASON_CAUSES: readonly (readonly [string, LossCause])[] = [
  ['limit: exhausted', 'customer limit'],
  ['limit: unreachable', 'quota owner out of reach'],
  ['the key was moved', 'key moved'],
  ['no connection', 'connection'],
  ['rejected: LAGGING', 'lag of replicas'],
  ['no server qualifies', 'servers out of reach'],
  ['rejected', 'slot'],
  ['out of reach', 'servers out of reach'],
  ['no primary', 'servers out of reach'],
  ['the transaction was idle', 'idle transaction'],
  ['connectionLost', 'lost connection'],
  ['timedOut', 'lost connection'],
  ['timed out', 'lost connection'],
  ['the primary was given up', 'release and fence'],
  ['earlier writes are not acknowledged', 'lag of replicas'],
];

function classifyReason(reason: string): LossCause {
  for (const [part, cause] of REASON_CAUSES) {
    if (reason.includes(part)) {
      return cause;
    }
  }
  return 'other';
}
