import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {WriteGap} from '@filbertrun/observability/service_level_snapshot.js';
import {describe, expect, it} from 'vitest';
import {WriteGapMonitor} from './write_gap_monitor.js';

function createMonitor() {
  const clock = VirtualClock.create();
  const gaps: WriteGap[] = [];
  const monitor = WriteGapMonitor.create({
    databaseGroup: 'sched-db-1',
    clock,
    getWallClockMs: () => 5000 + clock.nowMs(),
    recordWriteGap: gap => gaps.push(gap),
  });
  return {clock, gaps, monitor};
}

describe('WriteGapMonitor', () => {
  it('measures from the first waiting write to the first that has a primary', () => {
    const {clock, gaps, monitor} = createMonitor();
    monitor.handleWait(false);
    clock.advance(300);
    monitor.handleWait(false);
    clock.advance(100);
    monitor.handlePrimary();
    monitor.handlePrimary();
    expect(gaps).toEqual([
      {
        databaseGroup: 'sched-db-1',
        startMs: 5000,
        durationMs: 400,
        isPlanned: false,
      },
    ]);
  });

  it('records no gap if no write has to wait for a primary', () => {
    const {gaps, monitor} = createMonitor();
    monitor.handlePrimary();
    expect(gaps).toEqual([]);
  });

  it('distinguishes a planned gap from one after a failure', () => {
    const {gaps, monitor} = createMonitor();
    monitor.handleWait(true);
    monitor.handlePrimary();
    monitor.handleWait(false);
    monitor.handlePrimary();
    expect(gaps.map(gap => gap.isPlanned)).toEqual([true, false]);
  });
});
