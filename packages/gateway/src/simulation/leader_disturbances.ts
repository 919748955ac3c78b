import type {Clock} from '@filbertrun/base/clock.js';
import type {HistoryFault} from './history_fault.js';

/** A fault that strikes a proxy at a step of its change of primary. @internal */
export type LeaderFault = Extract<
  HistoryFault,
  {readonly kind: 'disturbLeader'}
>;

/** Time for which a fault waits for its step. @internal */
export const ARMED_MS = 6_000;

/** Duration of a freeze and of an isolation. @internal */
export const DISTURBED_MS = 3_200;

/** Time from a planned stop to the end of the process. */
const STOP_MS = 2_500;

/** Carries out the faults. @internal */
export interface LeaderFaultHandler {
  beginStop(proxy: string): void;
  kill(proxy: string): void;
  freeze(proxy: string): void;
  thaw(proxy: string): void;
  isolate(proxy: string, forMs: number): void;
}

interface ArmedFault {
  readonly fault: LeaderFault;
  readonly untilMs: number;
  remainingCount: number;
}

/**
 * Strikes failover leaders at chosen steps of a change of primary: each armed
 * fault strikes the proxies that next record its step.
 *
 * @internal
 */
export class LeaderDisturbances {
  private readonly armed: ArmedFault[] = [];

  private constructor(
    private readonly clock: Clock,
    private readonly handler: LeaderFaultHandler,
  ) {}

  static create(clock: Clock, handler: LeaderFaultHandler): LeaderDisturbances {
    return new LeaderDisturbances(clock, handler);
  }

  arm(fault: LeaderFault): void {
    this.armed.push({
      fault,
      untilMs: this.clock.nowMs() + ARMED_MS,
      remainingCount: fault.count,
    });
  }

  /** Handles an event that a proxy has recorded. */
  handleEvent(proxy: string, kind: string): void {
    for (const armed of this.armed) {
      const {fault, untilMs, remainingCount} = armed;
      const isOver = remainingCount === 0 || this.clock.nowMs() > untilMs;
      if (isOver || fault.step !== kind) {
        continue;
      }
      armed.remainingCount--;
      this.clock.startTimer(fault.afterMs, () => this.strike(proxy, fault));
    }
  }

  /** Stops a proxy as planned; its process ends a while later. */
  stop(proxy: string): void {
    this.handler.beginStop(proxy);
    this.clock.startTimer(STOP_MS, () => this.handler.kill(proxy));
  }

  private strike(proxy: string, {how}: LeaderFault): void {
    const {clock, handler} = this;
    switch (how) {
      case 'stop':
        this.stop(proxy);
        return;
      case 'kill':
        handler.kill(proxy);
        return;
      case 'freeze':
        handler.freeze(proxy);
        clock.startTimer(DISTURBED_MS, () => handler.thaw(proxy));
        return;
      case 'isolate':
        handler.isolate(proxy, DISTURBED_MS);
        return;
    }
  }
}
