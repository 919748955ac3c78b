import type {VirtualClock} from '@filbertrun/base/virtual_clock.js';

/** Time for which a new connection occupies a slot. */
const HANDSHAKE_MS = 12;

/**
 * Backend server of a replay: runs as many statements and handshakes at once as
 * it has slots; others wait in the order of arrival.
 *
 * @internal
 */
export class ReplayServer {
  private running = 0;
  private readonly waiting: (() => void)[] = [];

  private constructor(
    private readonly clock: VirtualClock,
    private readonly getSlots: (nowMs: number) => number,
  ) {}

  static create(
    clock: VirtualClock,
    getSlots: (nowMs: number) => number,
  ): ReplayServer {
    return new ReplayServer(clock, getSlots);
  }

  connect(): Promise<void> {
    return this.run(HANDSHAKE_MS);
  }

  run(workMs: number): Promise<void> {
    return new Promise(resolve => {
      this.waiting.push(() => {
        this.running++;
        this.clock.startTimer(workMs, () => {
          this.running--;
          resolve();
          this.startWaiting();
        });
      });
      this.startWaiting();
    });
  }

  private startWaiting(): void {
    while (this.running < this.getSlots(this.clock.nowMs())) {
      const start = this.waiting.shift();
      if (start === undefined) {
        return;
      }
      start();
    }
  }
}
