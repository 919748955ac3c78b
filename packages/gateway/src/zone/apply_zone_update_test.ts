import {SeededRandom} from '@filbertrun/base/random_source.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {ConfigurationHistory} from '../configuration/configuration_history.js';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import {ContactTracker} from '../control/contact_tracker.js';
import {ControlPoller} from '../control/control_poller.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import {TableWatcher} from '../directory/table_watcher.js';
import {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import {createConfiguration} from '../testing/create_configuration.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {createEntry} from '../testing/fake_instances.js';
import {FakeWallClock} from '../testing/fake_wall_clock.js';
import {applyZoneUpdate, type ZoneUpdateTargets} from './apply_zone_update.js';
import type {ZoneUpdate} from './zone_update.js';

const START_MS = 10_000;

describe('applyZoneUpdate', () => {
  let clock: VirtualClock;
  let clockJumpDetector: ClockJumpDetector;
  let targets: ZoneUpdateTargets;
  let reader: ConfigurationHistory;
  let applied: ServiceConfiguration[];
  let listedServers: string[];

  beforeEach(() => {
    clock = VirtualClock.create();
    clock.advance(START_MS);
    clockJumpDetector = ClockJumpDetector.create(
      clock,
      FakeWallClock.create(clock),
    );
    applied = [];
    listedServers = [];
    reader = ConfigurationHistory.create();
    targets = {
      controlPoller: ControlPoller.create({
        table: FakeControlTable.create(clock),
        clock,
        clockJumpDetector,
        events: InMemoryEventRecorder.create(),
        handleListing: () => {},
        isUrgent: () => false,
      }),
      contact: ContactTracker.create(clockJumpDetector, 1_200),
      directoryWatcher: createWatcher<BackendServerEntry>(({key}) =>
        listedServers.push(key),
      ),
      configurationWatcher: createWatcher<ServiceConfiguration>(({value}) =>
        applied.push(value),
      ),
      configurationHistory: ConfigurationHistory.create(),
      configurationKey: 'config',
      computeDigest: () => 'digest',
    };
  });

  function createWatcher<T>(
    handlePut: (put: {readonly key: string; readonly value: T}) => void,
  ): TableWatcher<T> {
    const handleChanges = ({
      changes,
    }: Parameters<TableWatcher<T>['applyUpdate']>[0]) => {
      for (const change of changes) {
        if (change.kind === 'put') {
          handlePut(change);
        }
      }
    };
    return TableWatcher.create<T>({
      name: 'test',
      getWaitMs: () => 1_000,
      minIntervalMs: 250,
      needsEachChange: false,
      table: {
        list: () => new Promise(() => {}),
        watch: () => new Promise(() => {}),
      },
      listener: {handleListing: handleChanges, handleChanges},
      clock,
      clockJumpDetector,
      random: SeededRandom.create(1),
      events: InMemoryEventRecorder.create(),
    });
  }

  /** Applies an update of the reader, which was requested 200 ms ago. */
  function apply(configurationLeadMs: number | null = null): void {
    const put = {
      kind: 'put',
      key: 'p',
      revision: 9,
      value: createEntry('p', 'primary'),
    } as const;
    const update: ZoneUpdate = {
      control: {
        isListing: true,
        changes: [],
        revision: 9,
        storeTimeMs: 0,
        readLeadMs: 0,
      },
      directory: {isListing: true, changes: [put], revision: 9},
      configuration: {isListing: false, changes: [], revision: 9},
      configurationDelta: reader.getDeltaSince({revision: 5, version: 1}),
      configurationLeadMs,
      contact: null,
    };
    const requestedAt = clockJumpDetector.read();
    clock.advance(200);
    applyZoneUpdate(
      update,
      {reader: 'entry-1', requestedAt, durationMs: 200},
      targets,
    );
  }

  it('applies what has changed to the version that this process knows', () => {
    for (const history of [reader, targets.configurationHistory]) {
      history.record(5, createConfiguration(1, 'a'));
    }
    reader.record(8, createConfiguration(2, 'a', 'b'));
    apply();
    expect(applied).toEqual([createConfiguration(2, 'a', 'b')]);
  });

  it('applies nothing of the configuration without the version that a delta starts from', () => {
    reader.record(5, createConfiguration(1, 'a'));
    reader.record(8, createConfiguration(2, 'a', 'b'));
    apply(0);
    expect(applied).toEqual([]);
    expect(targets.configurationWatcher.currentAsOf).toBeNull();
    expect(listedServers).toEqual(['p']);
  });

  // What a zone reader had read long ago counted as current.
  it('dates the configuration by the reading of the zone reader', () => {
    apply(700);
    expect(targets.configurationWatcher.currentAsOf?.timeMs).toBe(
      START_MS - 700,
    );
    expect(targets.configurationWatcher.getAgeMs()).toBe(900);
  });

  it('takes an update of the build before for no proof', () => {
    apply(null);
    expect(targets.configurationWatcher.getAgeMs()).toBeNull();
  });
});
