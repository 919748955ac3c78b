import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  groupScenarioArbitrary,
  type FaultKind,
  type GroupScenario,
  type ScenarioStep,
} from './group_scenario.js';
import {GroupHistory} from './group_history.js';
import {runHistory} from './history.js';
import {createHistoryRules} from './path_rules.js';

const HISTORY_COUNT = 150;

function createScenario(steps: readonly ScenarioStep[]): GroupScenario {
  return {seed: 5, watchRanks: [0, 1, 2], clockRates: [1, 1, 1], steps};
}

function fault(
  kind: FaultKind,
  atMs: number,
  durationMs: number,
  party: number,
): ScenarioStep {
  return {kind: 'fault', fault: kind, atMs, durationMs, party};
}

function writeAt(atMs: number, proxy: number): ScenarioStep {
  return {
    kind: 'operation',
    operation: 'write',
    atMs,
    session: proxy,
    proxy,
    choice: 0,
  };
}

function strictReadAt(atMs: number, proxy: number): ScenarioStep {
  return {
    kind: 'operation',
    operation: 'strictRead',
    atMs,
    session: proxy,
    proxy,
    choice: 0,
  };
}

const WRITES: readonly ScenarioStep[] = [0, 1, 2].flatMap(proxy => [
  writeAt(50 + proxy, proxy),
  writeAt(600 + proxy, proxy),
  writeAt(1300 + proxy, proxy),
]);

const SESSIONS: Readonly<Record<string, readonly ScenarioStep[]>> = {
  primary_crash: [fault('crashPrimary', 300, 1500, 0), ...WRITES],
  zone_split: [
    fault('isolateZone', 300, 1500, 0),
    ...WRITES,
    strictReadAt(1400, 0),
  ],
  table_outage_during_crash: [
    fault('tableOutage', 0, 2400, 0),
    fault('crashPrimary', 300, 1500, 0),
    ...WRITES,
  ],
  lost_claim_answer: [
    fault('loseTableAnswer', 0, 100, 0),
    fault('crashPrimary', 300, 1500, 0),
    ...WRITES,
  ],
  manager_paused_at_promotion: [
    fault('crashPrimary', 300, 1800, 0),
    fault('pauseProxy', 360, 1200, 0),
    ...WRITES,
  ],
};

describe('histories of a database group', () => {
  it('violate no invariant under generated faults', async () => {
    const scenarios = fc.sample(groupScenarioArbitrary, {
      numRuns: HISTORY_COUNT,
      seed: 42,
    });
    for (const scenario of scenarios) {
      const result = await runHistory(scenario, createHistoryRules());
      expect(result.violations).toEqual([]);
    }
  });

  it.each(['isolateProxy', 'pauseProxy', 'killProxy'] as const)(
    'keep the primary when a fault affects only one proxy: %s',
    async kind => {
      for (const party of [0, 1, 2]) {
        const scenario = createScenario([
          fault(kind, 300, 1800, party),
          ...WRITES,
        ]);
        const result = await GroupHistory.run(scenario, createHistoryRules());
        expect(result.violations).toEqual([]);
        expect(result.highestTerm).toBe(1);
      }
    },
  );

  it('replace a primary that reaches proxies but no replica, in one term', async () => {
    const scenario = createScenario([
      fault('isolateReplication', 300, 1800, 0),
      ...WRITES,
    ]);
    const result = await GroupHistory.run(scenario, createHistoryRules());
    expect(result.violations).toEqual([]);
    expect(result.highestTerm).toBe(2);
  });

  it.each(Object.entries(SESSIONS))(
    'produce the golden transcript: %s',
    async (name, steps) => {
      const result = await GroupHistory.run(
        createScenario(steps),
        createHistoryRules(),
      );
      expect(result.violations).toEqual([]);
      await expect(`${result.transcript.join('\n')}\n`).toMatchFileSnapshot(
        `../golden/${name}.txt`,
      );
    },
  );
});
