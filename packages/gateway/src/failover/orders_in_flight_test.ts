import {beforeEach, describe, expect, it} from 'vitest';
import {settlePromises} from '../testing/settle.js';
import {OrdersInFlight} from './orders_in_flight.js';

describe('OrdersInFlight', () => {
  let orders: OrdersInFlight;
  let endCall: () => void;
  let endOrder: () => void;
  let isClosed: boolean;

  beforeEach(() => {
    orders = OrdersInFlight.create();
    isClosed = false;
  });

  function startOrder(): Promise<unknown> {
    return orders.run(
      end =>
        new Promise<void>(resolve => {
          endCall = end;
          endOrder = resolve;
        }),
    );
  }

  async function close(): Promise<void> {
    void orders.close().then(() => {
      isClosed = true;
    });
    await settlePromises();
  }

  // Guards against leadership that is given up while an order is on its way: the
  // next leader's order, with a higher fencing token, then arrives first.
  it('closes only after the effect of every order', async () => {
    const order = startOrder();
    await close();
    expect(orders.hasCall).toBe(true);
    endCall();
    await settlePromises();
    expect(orders.hasCall).toBe(false);
    expect(isClosed).toBe(false);
    endOrder();
    await order;
    await settlePromises();
    expect(isClosed).toBe(true);
  });

  it('counts a call once, however often its end is reported', async () => {
    void startOrder();
    const endFirst = endCall;
    void startOrder();
    endFirst();
    endFirst();
    expect(orders.hasCall).toBe(true);
    endCall();
    expect(orders.hasCall).toBe(false);
  });

  it('closes at once when there is no order, and gives none afterwards', async () => {
    await close();
    expect(isClosed).toBe(true);
    expect(await orders.run(() => Promise.resolve('ordered'))).toBe('closed');
  });

  it('closes after an order that has failed', async () => {
    const order = orders.run(() => Promise.reject(new Error('test')));
    await expect(order).rejects.toThrow('test');
    await close();
    expect(isClosed).toBe(true);
    expect(orders.hasCall).toBe(false);
  });
});
