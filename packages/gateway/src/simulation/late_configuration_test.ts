import {sleep} from '@filbertrun/base/sleep.js';
import {describe, expect, it} from 'vitest';
import type {GatewayOptions} from '../gateway.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import {runHistory, START_MS, WARM_UP_MS} from './failover_history.js';
import type {HistoryFault} from './history_fault.js';
import {RESTART_MS} from './recovery_checker.js';

/**
 * All proxies are killed, and some get their configuration later than the others,
 * since the store answers some calls slowly. A change of primary takes place
 * meanwhile.
 */

const KILLED_AT_MS = 2_000;

const STARTED_AT_MS = KILLED_AT_MS + RESTART_MS;

/** Number of proxies with the layout `apart`. */
const PROXY_COUNT = 3;

/** The old primary drains and is out of reach of the failover leader and replicas. */
const FAULTS: readonly HistoryFault[] = [
  {kind: 'killAllProxies', atMs: KILLED_AT_MS},
  {kind: 'drainPrimary', atMs: KILLED_AT_MS + 500},
  {
    kind: 'isolatePrimary',
    atMs: STARTED_AT_MS + 8,
    forMs: 6_000,
    proxies: [0],
    isFromReplicas: true,
  },
];

/** Delays the configuration of restarted proxies other than `e1`. */
function delayConfiguration(
  options: GatewayOptions,
  delayMs: number,
): GatewayOptions {
  const {self, clock, configurationTable} = options;
  const incarnation = Number(self.incarnation.split('-')[1]);
  if (self.entryVm === 'e1' || incarnation <= PROXY_COUNT) {
    return options;
  }
  const untilMs = START_MS + WARM_UP_MS + STARTED_AT_MS + delayMs;
  return {
    ...options,
    configurationTable: {
      list: async () => {
        await sleep(clock, Math.max(0, untilMs - clock.nowMs()));
        return configurationTable.list();
      },
      watch: (afterRevision, waitMs) =>
        configurationTable.watch(afterRevision, waitMs),
    },
  };
}

/**
 * Returns the writes that proxies sent to the old primary after a change of
 * primary was completed without an outstanding release.
 */
async function findLateWrites(delayMs: number): Promise<readonly string[]> {
  const lateWrites: string[] = [];
  let hasCompleted = false;
  await runHistory({seed: 1, layout: 'apart', faults: FAULTS}, options => {
    const {entryVm} = options.self;
    const events: GatewayEventRecorder = {
      record: event => {
        if (event.kind === 'changeCompleted') {
          hasCompleted ||= event.waitingFor.length === 0;
        }
        if (
          hasCompleted &&
          event.kind === 'statementRouted' &&
          event.role === 'primary' &&
          event.backendServer === 'p'
        ) {
          lateWrites.push(`${event.requestId} by ${entryVm}`);
        }
        options.events.record(event);
      },
    };
    return delayConfiguration({...options, events}, delayMs);
  });
  expect(hasCompleted).toBe(true);
  return lateWrites;
}

describe('a late configuration after all proxies were killed', () => {
  // The proxies had answered the release and forgotten it.
  it.each([1_000, 1_100, 1_200, 1_300])(
    'lets no proxy write to a released primary if it comes after %i ms',
    async delayMs => {
      expect(await findLateWrites(delayMs)).toEqual([]);
    },
  );

  it('changes nothing if it comes in time', async () => {
    expect(await findLateWrites(0)).toEqual([]);
  });
});
