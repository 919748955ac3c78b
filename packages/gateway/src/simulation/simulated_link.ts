import type {Clock, Timer} from '@filbertrun/base/clock.js';

/** A transfer under way. */
interface Transfer {
  remainingBytes: number;
  readonly finish: () => void;
}

/**
 * The network link of one machine. Transfers under way share its width equally.
 *
 * @internal
 */
export class SimulatedLink {
  private readonly transfers = new Set<Transfer>();
  private updatedAtMs: number;
  private timer: Timer | null = null;

  private constructor(
    private readonly clock: Clock,
    private readonly bytesPerMs: number,
  ) {
    this.updatedAtMs = clock.nowMs();
  }

  static create(clock: Clock, bytesPerMs: number): SimulatedLink {
    return new SimulatedLink(clock, bytesPerMs);
  }

  /** Transfers a message; resolves when all of it has arrived. */
  transfer(bytes: number): Promise<void> {
    return new Promise(resolve => {
      this.advance();
      this.transfers.add({remainingBytes: bytes, finish: resolve});
      this.schedule();
    });
  }

  /** Accounts for the time since the last change and ends finished transfers. */
  private advance(): void {
    const nowMs = this.clock.nowMs();
    const sentBytes =
      ((nowMs - this.updatedAtMs) * this.bytesPerMs) /
      Math.max(1, this.transfers.size);
    this.updatedAtMs = nowMs;
    for (const transfer of [...this.transfers]) {
      transfer.remainingBytes -= sentBytes;
      if (transfer.remainingBytes < SMALLEST_REMAINDER_BYTES) {
        this.transfers.delete(transfer);
        transfer.finish();
      }
    }
  }

  /** Starts the timer for the end of the next transfer. */
  private schedule(): void {
    this.timer?.cancel();
    this.timer = null;
    let leastBytes = Number.POSITIVE_INFINITY;
    for (const {remainingBytes} of this.transfers) {
      leastBytes = Math.min(leastBytes, remainingBytes);
    }
    if (leastBytes === Number.POSITIVE_INFINITY) {
      return;
    }
    const delayMs = (leastBytes * this.transfers.size) / this.bytesPerMs;
    this.timer = this.clock.startTimer(delayMs, () => {
      this.advance();
      this.schedule();
    });
  }
}

/** Remainders below this come from rounding. */
const SMALLEST_REMAINDER_BYTES = 0.5;
