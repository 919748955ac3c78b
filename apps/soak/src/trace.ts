import {performance} from 'node:perf_hooks';

/** The record of one run: what was done and seen, with times. */

/** What is seen from outside the proxies; a fault may follow each. @internal */
export type SoakEventKind =
  | 'proxiesStarted'
  | 'intentRecorded'
  | 'targetRecorded'
  | 'pauseReceived'
  | 'stepDownReceived'
  | 'promoteArrived'
  | 'promoteEffective'
  | 'commitAcknowledged';

/** Collects lines with times, and tells listeners of events. @internal */
export class Trace {
  readonly lines: string[] = [];
  private readonly startedAtMs = performance.now();
  private readonly listeners = new Set<(kind: SoakEventKind) => void>();

  private constructor() {}

  static create(): Trace {
    return new Trace();
  }

  /** Time since the start of the run. */
  nowMs(): number {
    return performance.now() - this.startedAtMs;
  }

  /** Adds a line. */
  note(text: string): void {
    const seconds = (this.nowMs() / 1_000).toFixed(3).padStart(8);
    this.lines.push(`${seconds} ${text}`);
  }

  /** Tells the listeners of an event. */
  emit(kind: SoakEventKind): void {
    for (const listener of [...this.listeners]) {
      listener(kind);
    }
  }

  /** Calls `listener` with each event until the returned function is called. */
  listen(listener: (kind: SoakEventKind) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
