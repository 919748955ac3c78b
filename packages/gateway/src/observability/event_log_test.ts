import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {Logger} from '@filbertrun/observability/logger.js';
import {MetricsRegistry} from '@filbertrun/observability/metrics.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {EventLog} from './event_log.js';
import type {GatewayEvent} from './gateway_event.js';
import {LineWriter, type ChunkSink} from './line_writer.js';

const FAILURE: GatewayEvent = {
  kind: 'outcomeUnknown',
  requestId: 'r1',
  backendServer: 'a',
  reason: 'test',
};

const SUCCESS: GatewayEvent = {
  kind: 'statementAnswered',
  requestId: 'r1',
  databaseGroup: 'group',
  consistency: 'age',
  outcome: 'complete',
  durationMs: 1,
  position: null,
};

const ACKNOWLEDGED: GatewayEvent = {
  kind: 'writeAcknowledged',
  requestId: 'r2',
  databaseGroup: 'group',
  backendServer: 'a',
  position: {term: 1, position: 5},
};

const STATE_CHANGE: GatewayEvent = {
  kind: 'backendServerRestarted',
  backendServer: 'a',
};

describe('EventLog', () => {
  let clock: VirtualClock;
  let lines: string[];
  let metrics: MetricsRegistry;
  let log: EventLog;

  beforeEach(() => {
    clock = VirtualClock.create();
    lines = [];
    metrics = MetricsRegistry.create();
    const write = (event: string): void => {
      lines.push(event);
    };
    const logger: Logger = {
      debug: write,
      info: write,
      warn: write,
      error: write,
    };
    log = EventLog.create({
      clock,
      logger,
      metrics,
      writer: LineWriter.create(() => {}),
    });
  });

  it('counts every event and writes a bounded number of lines', () => {
    for (let count = 0; count < 10_000; count++) {
      log.record(FAILURE);
    }
    expect(lines.length).toBeLessThan(200);
    expect(
      metrics.getValue('filbertrun_events_total', {kind: 'outcomeUnknown'}),
    ).toBe(10_000);
  });

  it('writes state changes and failures when success events exceed their budget', () => {
    for (let count = 0; count < 10_000; count++) {
      log.record(SUCCESS);
    }
    log.record(FAILURE);
    log.record(STATE_CHANGE);
    expect(lines).toContain('outcomeUnknown');
    expect(lines).toContain('backendServerRestarted');
  });

  // Guards against a log that shows none of the writes which a promotion lacked,
  // because answered reads have used up the budget of successes.
  it('writes acknowledged writes under a budget of their own', () => {
    for (let count = 0; count < 10_000; count++) {
      log.record(SUCCESS);
    }
    lines.length = 0;
    for (let count = 0; count < 10_000; count++) {
      log.record(ACKNOWLEDGED);
    }
    expect(lines).toHaveLength(100);
    expect(new Set(lines)).toEqual(new Set(['writeAcknowledged']));
    clock.advance(1_000);
    log.record(STATE_CHANGE);
    expect(lines).not.toContain('logLinesDropped');
  });

  it('measures the duration of statements by consistency and outcome', () => {
    log.record(SUCCESS);
    const text = metrics.formatPrometheusText();
    expect(text).toContain(
      'filbertrun_statement_duration_seconds_count{consistency="age",outcome="complete"} 1',
    );
  });

  it('writes the buffered events of a request when it fails later', () => {
    for (let count = 0; count < 100; count++) {
      log.record({...SUCCESS, requestId: `other-${count}`});
    }
    lines.length = 0;
    log.record({...SUCCESS, requestId: 'r9'});
    expect(lines).toEqual([]);
    log.record({...FAILURE, requestId: 'r9'});
    expect(lines).toEqual(['statementAnswered', 'outcomeUnknown']);
  });

  it('reports how many lines were dropped', () => {
    for (let count = 0; count < 1_000; count++) {
      log.record(FAILURE);
    }
    clock.advance(2_000);
    log.record(STATE_CHANGE);
    expect(lines).toContain('logLinesDropped');
    expect(
      metrics.getValue('filbertrun_log_lines_dropped_total'),
    ).toBeGreaterThan(800);
  });
});

describe('LineWriter', () => {
  it('drops lines instead of waiting for a reader that has stopped', () => {
    const blockedSink: ChunkSink = () => {};
    const writer = LineWriter.create(blockedSink);
    const line = `${'x'.repeat(1_000)}\n`;
    for (let count = 0; count < 2_000; count++) {
      writer.write(line);
    }
    expect(writer.takeDroppedCount()).toBeGreaterThan(1_700);
    expect(writer.takeDroppedCount()).toBe(0);
  });

  it('writes the remaining bytes after a partial write', async () => {
    const written: string[] = [];
    const sink: ChunkSink = (chunk, done) => {
      const part = chunk.subarray(0, 3);
      written.push(part.toString());
      done(null, part.length);
    };
    const writer = LineWriter.create(sink);
    writer.write('abcdefgh\n');
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(written.join('')).toBe('abcdefgh\n');
  });
});
