import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {SilenceMonitor} from './silence_monitor.js';

describe('SilenceMonitor', () => {
  let clock: VirtualClock;
  let monitor: SilenceMonitor;
  let log: string[];

  beforeEach(() => {
    clock = VirtualClock.create();
    log = [];
    monitor = SilenceMonitor.create({
      clock,
      ping: () => log.push(`ping ${clock.nowMs()}`),
      handleSilent: () => {
        log.push(`silent ${clock.nowMs()}`);
        monitor.stop();
      },
    });
  });

  it('asks after 150 ms without a byte and gives up after 300 ms more', () => {
    monitor.start();
    clock.advance(10_000);
    expect(log).toEqual(['ping 150', 'silent 450']);
    expect(clock.getDelayToNextTimerMs()).toBeNull();
  });

  it('counts from the last byte', () => {
    monitor.start();
    clock.advance(100);
    monitor.recordArrival();
    clock.advance(149);
    expect(log).toEqual([]);
    clock.advance(10_000);
    expect(log).toEqual(['ping 250', 'silent 550']);
  });

  // Guards against a silence that is noticed late because the timer of an
  // answered ping is still pending.
  it('counts anew from a byte after a ping', () => {
    monitor.start();
    clock.advance(151);
    monitor.recordArrival();
    clock.advance(10_000);
    expect(log).toEqual(['ping 150', 'ping 301', 'silent 601']);
  });

  it('does nothing while no response is pending', () => {
    clock.advance(1_000);
    monitor.start();
    clock.advance(100);
    monitor.pause();
    clock.advance(10_000);
    expect(log).toEqual([]);
    expect(clock.getDelayToNextTimerMs()).toBeNull();
  });

  // Guards against a holder that counts as silent because of the time between
  // two exchanges, or because of a ping of an earlier exchange.
  it('counts anew from a new wait', () => {
    monitor.start();
    clock.advance(160);
    monitor.pause();
    clock.advance(100);
    monitor.start();
    clock.advance(10_000);
    expect(log).toEqual(['ping 150', 'ping 410', 'silent 710']);
  });

  // Guards against a stream that is closed because this process was paused,
  // while the responses wait in its socket.
  it('lets bytes be read before it gives up after a pause', () => {
    monitor.start();
    clock.advance(150);
    clock.startTimer(300, () => monitor.recordArrival());
    clock.advance(300);
    expect(log).toEqual(['ping 150']);
    clock.advance(150);
    expect(log).toEqual(['ping 150', 'ping 600']);
  });

  it('has no more than one timer for many arrivals and waits', () => {
    for (let turn = 0; turn < 100; turn++) {
      monitor.start();
      monitor.recordArrival();
      monitor.pause();
    }
    let timers = 0;
    while (clock.getDelayToNextTimerMs() !== null) {
      clock.advance(clock.getDelayToNextTimerMs() ?? 0);
      timers++;
    }
    expect(timers).toBe(1);
  });
});
