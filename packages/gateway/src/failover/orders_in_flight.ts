/**
 * Tracks the promotion orders of this process that are under way: from the
 * moment at which the target is about to be recorded until the platform has
 * answered or the call has ended. Leadership is given up only when there is
 * none, so that no order of this leader arrives after one of the next leader.
 *
 * @public
 */
export class OrdersInFlight {
  private count = 0;
  private isClosed = false;
  private readonly waiters: (() => void)[] = [];

  private constructor() {}

  static create(): OrdersInFlight {
    return new OrdersInFlight();
  }

  get hasAny(): boolean {
    return this.count > 0;
  }

  /**
   * Runs an order; null if this process gives no further orders.
   */
  async run<T>(order: () => Promise<T>): Promise<T | null> {
    if (this.isClosed) {
      return null;
    }
    this.count++;
    try {
      return await order();
    } finally {
      this.count--;
      this.notifyIfNone();
    }
  }

  /** Refuses further orders and resolves once none is under way. */
  close(): Promise<void> {
    this.isClosed = true;
    return new Promise(resolve => {
      this.waiters.push(resolve);
      this.notifyIfNone();
    });
  }

  private notifyIfNone(): void {
    if (this.count > 0) {
      return;
    }
    for (const notify of this.waiters.splice(0)) {
      notify();
    }
  }
}
