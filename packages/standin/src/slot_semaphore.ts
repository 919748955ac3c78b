/**
 * Limits the number of concurrent statements. Others wait in order of arrival.
 *
 * @internal
 */
export class SlotSemaphore {
  private usedSlots = 0;
  private readonly waiters = new Set<() => void>();

  private constructor(private slots: number) {}

  static create(slots: number): SlotSemaphore {
    return new SlotSemaphore(slots);
  }

  getUsedSlots(): number {
    return this.usedSlots;
  }

  getWaiterCount(): number {
    return this.waiters.size;
  }

  setSlots(slots: number): void {
    this.slots = slots;
    this.admitWaiters();
  }

  /** Acquires a slot if one is free and no statement waits for one. */
  tryAcquire(): boolean {
    if (this.usedSlots >= this.slots || this.waiters.size > 0) {
      return false;
    }
    this.usedSlots++;
    return true;
  }

  /**
   * Waits for a slot and calls `onAcquired` when it is acquired. Returns a
   * function that cancels the wait.
   */
  acquire(onAcquired: () => void): () => void {
    this.waiters.add(onAcquired);
    this.admitWaiters();
    return () => {
      this.waiters.delete(onAcquired);
    };
  }

  release(): void {
    this.usedSlots--;
    this.admitWaiters();
  }

  private admitWaiters(): void {
    for (const waiter of this.waiters) {
      if (this.usedSlots >= this.slots) {
        return;
      }
      this.waiters.delete(waiter);
      this.usedSlots++;
      waiter();
    }
  }
}
