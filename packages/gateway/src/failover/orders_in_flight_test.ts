import {settlePromises} from '../testing/settle.js';
import {describe, expect, it} from 'vitest';
import {OrdersInFlight} from './orders_in_flight.js';

describe('OrdersInFlight', () => {
  // Guards against leadership that is given up while an order is on its way: the
  // next leader's order, with a higher fencing token, then arrives first.
  it('closes only after every order has ended', async () => {
    const orders = OrdersInFlight.create();
    let end: () => void = () => {};
    const order = orders.run(
      () =>
        new Promise<void>(resolve => {
          end = resolve;
        }),
    );
    let isClosed = false;
    const closing = orders.close().then(() => {
      isClosed = true;
    });
    await settlePromises();
    expect(orders.hasAny).toBe(true);
    expect(isClosed).toBe(false);
    end();
    await Promise.all([order, closing]);
    expect(orders.hasAny).toBe(false);
  });

  it('closes at once when there is no order, and gives none afterwards', async () => {
    const orders = OrdersInFlight.create();
    await orders.close();
    expect(await orders.run(() => Promise.resolve('ordered'))).toBeNull();
  });

  it('closes after an order that has failed', async () => {
    const orders = OrdersInFlight.create();
    const order = orders.run(() => Promise.reject(new Error('test')));
    await expect(order).rejects.toThrow('test');
    await orders.close();
    expect(orders.hasAny).toBe(false);
  });
});
