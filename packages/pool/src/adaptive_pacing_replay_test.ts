import {afterAll, describe, expect, it} from 'vitest';
import {LatencyGradient} from './latency_gradient.js';
import {
  replayLoad,
  type LoadReplayOptions,
  type ReplayCounts,
} from './testing/pacing_replay.js';
import {SlowStartLimit} from './testing/slow_start_limit.js';

/**
 * Compares the concurrency controls in the ten seconds after the return of an
 * instance. All figures are means over the seeds.
 */

const SEEDS = [1, 2, 3, 4];

const CONTROLS = {
  fixedStart: null,
  slowStart: SlowStartLimit.create,
  gradient: LatencyGradient.create,
} as const satisfies Record<string, LoadReplayOptions['createControl']>;

type Figures = ReturnType<typeof toFigures>;

type Comparison = Readonly<Record<keyof typeof CONTROLS, Figures>>;

const HEALTHY = {isReachable: true, slowdown: 1, failureRate: 0};

/** Six times slower in the first 3 s. */
const SLOW_START: LoadReplayOptions['getCondition'] = sinceMs => ({
  ...HEALTHY,
  slowdown: sinceMs < 3_000 ? 6 : 1,
});

const lines: string[] = [];

function toFigures(counts: ReplayCounts) {
  const {inTimeByRoute, offeredByRoute, ...figures} = counts;
  const urgentOffered = offeredByRoute['checkout'] ?? 0;
  return {
    ...figures,
    urgentInTime: (inTimeByRoute['checkout'] ?? 0) / urgentOffered,
  };
}

async function measure(
  name: string,
  control: keyof typeof CONTROLS,
  options: Omit<LoadReplayOptions, 'seed' | 'createControl'>,
): Promise<Figures> {
  const createControl = CONTROLS[control];
  const runs: Figures[] = [];
  for (const seed of SEEDS) {
    runs.push(toFigures(await replayLoad({...options, seed, createControl})));
  }
  const mean = (key: keyof Figures) =>
    runs.reduce((sum, run) => sum + run[key], 0) / runs.length;
  const figures: Figures = {
    offered: mean('offered'),
    inTime: mean('inTime'),
    late: mean('late'),
    refused: mean('refused'),
    rejected: mean('rejected'),
    failed: mean('failed'),
    timedOut: mean('timedOut'),
    utilization: mean('utilization'),
    startUtilization: mean('startUtilization'),
    meanLimit: mean('meanLimit'),
    startLimit: mean('startLimit'),
    valueShare: mean('valueShare'),
    urgentInTime: mean('urgentInTime'),
  };
  const text = Object.entries(figures).map(
    ([key, value]) => `${key} ${value.toFixed(value < 2 ? 2 : 0)}`,
  );
  lines.push(`${name} | ${control} | ${text.join(', ')}`);
  return figures;
}

async function compare(
  name: string,
  options: Omit<LoadReplayOptions, 'seed' | 'createControl'>,
): Promise<Comparison> {
  return {
    fixedStart: await measure(name, 'fixedStart', options),
    slowStart: await measure(name, 'slowStart', options),
    gradient: await measure(name, 'gradient', options),
  };
}

describe('adaptive pacing after the return of an instance', () => {
  afterAll(() => console.log(lines.join('\n')));

  it('keeps an instance used that is slow at first, and serves the urgent kind better', async () => {
    const {fixedStart, gradient} = await compare('slow for 3 s', {
      getCondition: SLOW_START,
    });
    expect(gradient.inTime).toBeGreaterThan(0.97 * fixedStart.inTime);
    expect(gradient.urgentInTime).toBeGreaterThan(fixedStart.urgentInTime);
    expect(gradient.startUtilization).toBeGreaterThan(0.93);
    expect(gradient.startLimit).toBeLessThan(fixedStart.startLimit);
  });

  it('overloads a slow instance with a short queue less', async () => {
    const {fixedStart, gradient} = await compare('slow for 3 s, 5 may wait', {
      getCondition: SLOW_START,
      maxWaiting: 5,
    });
    expect(gradient.rejected).toBeLessThan(0.75 * fixedStart.rejected);
    expect(gradient.inTime).toBeGreaterThan(0.97 * fixedStart.inTime);
  });

  it('loses less than a twentieth at twice the load, which no control can serve', async () => {
    const {fixedStart, gradient} = await compare('slow for 3 s, load x 2', {
      getCondition: SLOW_START,
      loadFactor: 2,
    });
    expect(gradient.inTime).toBeGreaterThan(0.95 * fixedStart.inTime);
    expect(gradient.utilization).toBeGreaterThan(0.95);
  });

  it('detects an instance that fails part of its statements', async () => {
    const {fixedStart, gradient} = await compare('fails 30%', {
      getCondition: () => ({...HEALTHY, failureRate: 0.3}),
    });
    expect(gradient.meanLimit).toBeLessThan(0.4 * fixedStart.meanLimit);
    expect(gradient.inTime).toBeGreaterThan(0.97 * fixedStart.inTime);
  });

  it('uses the good phases of an instance that flaps', async () => {
    const {fixedStart, gradient} = await compare('flaps', {
      getCondition: sinceMs => ({
        ...HEALTHY,
        isReachable: sinceMs % 1_000 < 700,
      }),
    });
    expect(gradient.inTime).toBeGreaterThan(0.96 * fixedStart.inTime);
    expect(gradient.meanLimit).toBeLessThan(fixedStart.meanLimit);
  });

  it('follows the capacity of an overloaded instance', async () => {
    const {fixedStart, gradient} = await compare('load x 3', {
      getCondition: () => HEALTHY,
      loadFactor: 3,
    });
    expect(gradient.rejected).toBeLessThan(0.1 * fixedStart.rejected);
    expect(gradient.valueShare).toBeGreaterThan(fixedStart.valueShare);
    expect(gradient.urgentInTime).toBeGreaterThan(fixedStart.urgentInTime);
    expect(gradient.utilization).toBeGreaterThan(0.95);
  });

  it.each(['uniform', 'exponential'] as const)(
    'does not hold a healthy instance back (%s durations)',
    async spread => {
      const {gradient} = await compare(`healthy, ${spread}`, {
        getCondition: () => HEALTHY,
        spread,
      });
      expect(gradient.inTime).toBeGreaterThan(0.98 * gradient.offered);
      expect(gradient.meanLimit).toBeGreaterThan(10);
    },
  );
}, 120_000);
