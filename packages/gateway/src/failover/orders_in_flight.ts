/** Result of `OrdersInFlight.run` if this process gives no more orders. */
const CLOSED = 'closed';

/**
 * Tracks the promotion orders of this process that are under way: first the
 * call, from the moment at which the target is about to be recorded until the
 * platform has answered or the call has ended, then the wait for its effect. A
 * leader does not hand over during a call, so that no order of it arrives after
 * one of the next leader. A stop also waits for the effect.
 *
 * @public
 */
export class OrdersInFlight {
  private orderCount = 0;
  private callCount = 0;
  private isClosed = false;
  private readonly waiters: (() => void)[] = [];

  private constructor() {}

  static create(): OrdersInFlight {
    return new OrdersInFlight();
  }

  /** Whether the call of an order is under way. */
  get hasCall(): boolean {
    return this.callCount > 0;
  }

  /**
   * Runs an order up to its effect; `order` calls `endCall` once its call has
   * ended. Runs nothing if this process gives no more orders.
   */
  async run<T>(
    order: (endCall: () => void) => Promise<T>,
  ): Promise<T | typeof CLOSED> {
    if (this.isClosed) {
      return CLOSED;
    }
    let isCalling = true;
    const endCall = () => {
      this.callCount -= isCalling ? 1 : 0;
      isCalling = false;
    };
    this.orderCount++;
    this.callCount++;
    try {
      return await order(endCall);
    } finally {
      endCall();
      this.orderCount--;
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
    if (this.orderCount > 0) {
      return;
    }
    for (const notify of this.waiters.splice(0)) {
      notify();
    }
  }
}
