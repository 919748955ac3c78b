import {expect, test} from 'vitest';
import {sleep} from './sleep.js';
import {VirtualClock} from './virtual_clock.js';

test('resolves once the delay has elapsed on the clock, not earlier', async () => {
  const clock = VirtualClock.create();
  let isOver = false;
  void sleep(clock, 30).then(() => {
    isOver = true;
  });
  clock.advance(29);
  await Promise.resolve();
  expect(isOver).toBe(false);
  clock.advance(1);
  await Promise.resolve();
  expect(isOver).toBe(true);
});
