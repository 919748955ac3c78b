import {expect, test} from 'vitest';
import {pause} from './pause.js';
import {VirtualClock} from './virtual_clock.js';

test('resolves once the delay has elapsed on the clock, not earlier', async () => {
  const clock = VirtualClock.create();
  let isOver = false;
  void pause(clock, 30).then(() => {
    isOver = true;
  });
  clock.advance(29);
  await Promise.resolve();
  expect(isOver).toBe(false);
  clock.advance(1);
  await Promise.resolve();
  expect(isOver).toBe(true);
});
