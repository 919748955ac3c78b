import type {LogRecord} from '@filbertrun/observability/log_record.js';

/**
 * What a statement that was not served was waiting for, as the logs of the
 * proxies tell it: the step of a change of primary that was under way in its
 * group, or what its reason says.
 */

/** What was waited for. @public */
export type LossCause =
  /** A primary is lost and nobody has decided to replace it yet. */
  | 'detection'
  /** Proxies give the old primary up, instances are fenced, one is chosen. */
  | 'release and fence'
  | 'promotion'
  /** A proxy that did not release may still read at the old primary. */
  | 'lease'
  | 'process start'
  | 'connection'
  | 'slot'
  | 'lag of replicas'
  /** No server that could answer can be reached. */
  | 'servers out of reach'
  | 'lost connection'
  | 'idle transaction'
  | 'other';

/** A span of time in which a group waited for one thing. */
interface Phase {
  readonly cause: LossCause;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Time after the start of a process in which its losses are put down to it. */
const PROCESS_START_MS = 3_000;

/** Longest time that an unreachable primary explains losses of its group. */
const MAX_DETECTION_MS = 2_000;

/** Finds causes from what all proxies logged. @public */
export class LossCauses {
  private readonly phases = new Map<string, Phase[]>();
  /** Starts of processes by entry VM. */
  private readonly starts = new Map<string, number[]>();

  private constructor(records: readonly LogRecord[]) {
    const suspicions = new Map<string, number>();
    const begun = new Map<string, {cause: LossCause; fromMs: number}>();
    for (const record of records) {
      this.readProcess(record);
      this.readSuspicion(record, suspicions);
      this.readChange(record, suspicions, begun);
    }
  }

  /** Reads records in order of time. */
  static create(records: readonly LogRecord[]): LossCauses {
    return new LossCauses(records);
  }

  /** The cause of a loss that a proxy logged. */
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

  private readProcess({event, entryVm, timeMs}: LogRecord): void {
    if (event === 'started') {
      const starts = this.starts.get(entryVm) ?? [];
      starts.push(timeMs);
      this.starts.set(entryVm, starts);
    }
  }

  private readSuspicion(
    {event, timeMs, fields}: LogRecord,
    suspicions: Map<string, number>,
  ): void {
    const server = fields['backendServer'];
    if (event === 'backendUnreachable' && typeof server === 'string') {
      suspicions.set(server, timeMs);
    }
  }

  private readChange(
    {event, timeMs, fields}: LogRecord,
    suspicions: ReadonlyMap<string, number>,
    begun: Map<string, {cause: LossCause; fromMs: number}>,
  ): void {
    const databaseGroup = String(fields['databaseGroup'] ?? '');
    const next = NEXT_STEPS.get(event);
    if (next === undefined) {
      return;
    }
    const step = begun.get(databaseGroup);
    if (step !== undefined) {
      this.addPhase(databaseGroup, {...step, toMs: timeMs});
    }
    if (event === 'changeIntended') {
      const suspectedMs = suspicions.get(String(fields['primary'] ?? ''));
      const fromMs = Math.max(
        timeMs - MAX_DETECTION_MS,
        suspectedMs ?? timeMs - MAX_DETECTION_MS,
      );
      this.addPhase(databaseGroup, {cause: 'detection', fromMs, toMs: timeMs});
    }
    const isOpen = event === 'changeCompleted' && isEmpty(fields['waitingFor']);
    if (next === null || isOpen) {
      begun.delete(databaseGroup);
    } else {
      begun.set(databaseGroup, {cause: next, fromMs: timeMs});
    }
  }

  private addPhase(databaseGroup: string, phase: Phase): void {
    const phases = this.phases.get(databaseGroup) ?? [];
    phases.push(phase);
    this.phases.set(databaseGroup, phases);
  }
}

/** What a group waits for after each event of a change; null for nothing more. */
const NEXT_STEPS: ReadonlyMap<string, LossCause | null> = new Map([
  ['changeIntended', 'release and fence'],
  ['promotionOrdered', 'promotion'],
  ['changeCompleted', 'lease'],
  ['writesOpened', null],
  ['changeAbandoned', null],
]);

/** Whether a reason tells of a primary that is missing or out of reach. */
function concernsPrimary(reason: string): boolean {
  return (
    !reason.includes('rejected') && !reason.includes('no server qualifies')
  );
}

function isEmpty(value: unknown): boolean {
  return Array.isArray(value) && value.length === 0;
}

/** Causes by a part of the reason; the first that fits counts. */
const REASON_CAUSES: readonly (readonly [string, LossCause])[] = [
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
