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
      readonly maxMs: number;
    }[],
  ): Promise<readonly string[]> {
    const clock = VirtualClock.create();
    const link = SimulatedLink.create(clock, BYTES_PER_MS);
    const ends: string[] = [];
    for (const [index, {bytes, atMs, maxMs}] of transfers.entries()) {
      clock.startTimer(atMs, () => {
        void link.transfer(bytes, maxMs).then(isComplete => {
          ends.push(`${index} ${isComplete} ${Math.round(clock.nowMs())}`);
        });
      });
    }
    for (let step = 0; step < 100; step++) {
      await advanceClock(clock, 10);
    }
    return ends;
  }

  it('sends one message at its full width', async () => {
    expect(await runTransfers([{bytes: 5_000, atMs: 0, maxMs: 999}])).toEqual([
      '0 true 50',
    ]);
  });

  it('shares its width between messages under way', async () => {
    expect(
      await runTransfers([
        {bytes: 5_000, atMs: 0, maxMs: 999},
        {bytes: 2_000, atMs: 10, maxMs: 999},
      ]),
    ).toEqual(['1 true 50', '0 true 70']);
  });

  it('gives the width of an abandoned message to the others', async () => {
    expect(
      await runTransfers([
        {bytes: 50_000, atMs: 0, maxMs: 100},
        {bytes: 10_000, atMs: 0, maxMs: 999},
      ]),
    ).toEqual(['0 false 100', '1 true 150']);
  });
});
