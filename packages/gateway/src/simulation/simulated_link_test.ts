import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {describe, expect, it} from 'vitest';
import {advanceClock} from '../testing/settle.js';
import {SimulatedLink} from './simulated_link.js';

const BYTES_PER_MS = 100;

describe('SimulatedLink', () => {
  async function runTransfers(
    transfers: readonly {
      readonly bytes: number;
      readonly atMs: number;
    }[],
  ): Promise<readonly string[]> {
    const clock = VirtualClock.create();
    const link = SimulatedLink.create(clock, BYTES_PER_MS);
    const ends: string[] = [];
    for (const [index, {bytes, atMs}] of transfers.entries()) {
      clock.startTimer(atMs, () => {
        void link.transfer(bytes).then(() => {
          ends.push(`${index} ${Math.round(clock.nowMs())}`);
        });
      });
    }
    for (let step = 0; step < 100; step++) {
      await advanceClock(clock, 10);
    }
    return ends;
  }

  it('sends one message at its full width', async () => {
    expect(await runTransfers([{bytes: 5_000, atMs: 0}])).toEqual(['0 50']);
  });

  it('shares its width between messages under way', async () => {
    expect(
      await runTransfers([
        {bytes: 5_000, atMs: 0},
        {bytes: 2_000, atMs: 10},
      ]),
    ).toEqual(['1 50', '0 70']);
  });
});
