import type {Clock} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';

/** Result of work at a replayed instance. @internal */
export type WorkResult = 'done' | 'rejected' | 'failed' | 'lost';

/** Behavior of a replayed instance at a time. @internal */
export interface InstanceCondition {
  readonly isReachable: boolean;
  /** Factor of the duration of work that starts now. */
  readonly slowdown: number;
  /** Share of the statements that fail after they have run. */
  readonly failureRate: number;
}

/** Options of a `ReplayedInstance`. @internal */
export interface ReplayedInstanceOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly slots: number;
  /** Statements that may wait for a slot; more are rejected. */
  readonly maxWaiting: number;
  readonly getCondition: () => InstanceCondition;
  /** Distribution of the durations of statements of one kind. */
  readonly spread: 'uniform' | 'exponential';
}

interface Work {
  readonly durationMs: number;
  readonly mayFail: boolean;
  readonly handleResult: (result: WorkResult) => void;
  isEnded: boolean;
}

/** Smallest and largest factor of the duration with a uniform spread. */
const MIN_DURATION_FACTOR = 0.5;
const MAX_DURATION_FACTOR = 1.5;

/** Instance that runs work in a number of slots in order of arrival. @internal */
export class ReplayedInstance {
  private readonly waiting: Work[] = [];
  private readonly running = new Set<Work>();
  private busySinceMs = 0;
  private busySlotMs = 0;

  private constructor(private readonly options: ReplayedInstanceOptions) {}

  static create(options: ReplayedInstanceOptions): ReplayedInstance {
    return new ReplayedInstance(options);
  }

  /** Time that slots were occupied so far, summed over the slots. */
  getBusySlotMs(): number {
    this.updateBusyTime();
    return this.busySlotMs;
  }

  run(workMs: number, mayFail: boolean): Promise<WorkResult> {
    if (!this.options.getCondition().isReachable) {
      return Promise.resolve('lost');
    }
    if (this.waiting.length >= this.options.maxWaiting) {
      return Promise.resolve('rejected');
    }
    return new Promise(resolve => {
      this.waiting.push({
        durationMs: workMs * this.chooseFactor(),
        mayFail,
        handleResult: resolve,
        isEnded: false,
      });
      this.startWaiting();
    });
  }

  /** Loses all work, as when the instance is cut off. */
  loseAll(): void {
    this.updateBusyTime();
    for (const work of [...this.waiting.splice(0), ...this.running]) {
      work.isEnded = true;
      work.handleResult('lost');
    }
    this.running.clear();
  }

  private chooseFactor(): number {
    const {random, spread} = this.options;
    if (spread === 'exponential') {
      return -Math.log(1 - random.nextFloat());
    }
    const range = MAX_DURATION_FACTOR - MIN_DURATION_FACTOR;
    return MIN_DURATION_FACTOR + range * random.nextFloat();
  }

  private startWaiting(): void {
    this.updateBusyTime();
    while (this.running.size < this.options.slots) {
      const work = this.waiting.shift();
      if (work === undefined) {
        return;
      }
      this.start(work);
    }
  }

  private start(work: Work): void {
    const {clock, random, getCondition} = this.options;
    const {slowdown, failureRate} = getCondition();
    this.running.add(work);
    clock.startTimer(work.durationMs * slowdown, () => {
      if (work.isEnded) {
        return;
      }
      this.updateBusyTime();
      this.running.delete(work);
      const hasFailed = work.mayFail && random.nextFloat() < failureRate;
      work.handleResult(hasFailed ? 'failed' : 'done');
      this.startWaiting();
    });
  }

  private updateBusyTime(): void {
    const nowMs = this.options.clock.nowMs();
    this.busySlotMs += (nowMs - this.busySinceMs) * this.running.size;
    this.busySinceMs = nowMs;
  }
}
