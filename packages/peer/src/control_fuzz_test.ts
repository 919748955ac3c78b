import {SeededRandom} from '@filbertrun/base/random_source.js';
import {
  createConfiguration,
  createRequest,
} from '@filbertrun/configuration/configuration_fixtures.js';
import type {ConfigurationChange} from '@filbertrun/configuration/configuration_change.js';
import {
  readAcceptedConfiguration,
  submitChange,
} from '@filbertrun/configuration/submit_change.js';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FakeControlCluster} from './fake_control_cluster.js';

/**
 * Stateful fuzzing of configuration and membership on virtual time. The oracle
 * tracks the object of each version, the last version of each process, and the
 * outcome of each change id.
 */

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const NODES = [1, 2, 3, 4, 5];
const SERVERS = ['group-a', 'group-b', 'group-c'];
const INSTANCE = {databaseGroup: 'group', maxConnections: 20};

/** Time after the last fault within which all proxies must converge. */
const CONVERGENCE_MS = 30_000;

type Step =
  | {readonly kind: 'advance'; readonly durationMs: number}
  | {readonly kind: 'submit'; readonly server: string; readonly weight: number}
  | {readonly kind: 'drain'; readonly server: string}
  | {
      readonly kind: 'submitThrough';
      readonly node: number;
      readonly server: string;
    }
  | {readonly kind: 'repeat'}
  | {readonly kind: 'setOutage'; readonly isDown: boolean}
  | {readonly kind: 'dropResponse'}
  | {readonly kind: 'setLatency'; readonly latencyMs: number}
  | {readonly kind: 'restart'; readonly node: number; readonly downMs: number}
  | {readonly kind: 'pause'; readonly node: number; readonly durationMs: number}
  | {readonly kind: 'blockLink'; readonly from: number; readonly to: number}
  | {readonly kind: 'partition'; readonly left: readonly number[]}
  | {readonly kind: 'heal'};

const nodeArbitrary = fc.constantFrom(...NODES);
const serverArbitrary = fc.constantFrom(...SERVERS);

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      durationMs: fc.integer({min: 1, max: 4000}),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('submit' as const),
      server: serverArbitrary,
      weight: fc.integer({min: 0, max: 100}),
    }),
  },
  fc.record({kind: fc.constant('drain' as const), server: serverArbitrary}),
  fc.record({
    kind: fc.constant('submitThrough' as const),
    node: nodeArbitrary,
    server: serverArbitrary,
  }),
  fc.record({kind: fc.constant('repeat' as const)}),
  fc.record({kind: fc.constant('setOutage' as const), isDown: fc.boolean()}),
  fc.record({kind: fc.constant('dropResponse' as const)}),
  fc.record({
    kind: fc.constant('setLatency' as const),
    latencyMs: fc.constantFrom(0, 20, 1000),
  }),
  fc.record({
    kind: fc.constant('restart' as const),
    node: nodeArbitrary,
    downMs: fc.integer({min: 0, max: 8000}),
  }),
  fc.record({
    kind: fc.constant('pause' as const),
    node: nodeArbitrary,
    durationMs: fc.integer({min: 100, max: 12_000}),
  }),
  fc.record({
    kind: fc.constant('blockLink' as const),
    from: nodeArbitrary,
    to: nodeArbitrary,
  }),
  fc.record({
    kind: fc.constant('partition' as const),
    left: fc.subarray(NODES, {minLength: 1, maxLength: 2}),
  }),
  fc.record({kind: fc.constant('heal' as const)}),
);

type ChangeOutcome =
  'accepted' | 'unchanged' | 'refused' | 'unknown' | 'pending';

/** Executes a sequence of steps and checks the invariants after each. */
class ControlFuzzRun {
  private readonly cluster = FakeControlCluster.create(ZONES);
  private readonly objectByVersion = new Map<number, string>();
  private readonly heldVersions = new Map<object, number>();
  private readonly outcomes = new Map<string, ChangeOutcome>();
  private readonly versionByChange = new Map<string, number>();
  private readonly pending: Promise<void>[] = [];
  private lastChange: ConfigurationChange | null = null;
  private changes = 0;

  private constructor() {}

  static async run(steps: readonly Step[]): Promise<void> {
    const run = new ControlFuzzRun();
    await run.start();
    for (const step of steps) {
      await run.apply(step);
      run.checkVersions();
    }
    await run.finish();
  }

  private async start(): Promise<void> {
    const {databaseGroups} = createConfiguration('group');
    this.submit(null, {kind: 'replaceDatabaseGroups', databaseGroups});
    for (const node of NODES) {
      this.cluster.start(node);
    }
    await this.advance(5000);
    this.checkShares();
  }

  private async apply(step: Step): Promise<void> {
    const {cluster} = this;
    switch (step.kind) {
      case 'advance':
        return this.advance(step.durationMs);
      case 'submit': {
        const weights = [{backendServer: step.server, weight: step.weight}];
        return this.submit(null, {kind: 'shiftLoad', weights});
      }
      case 'drain':
        return this.submit(null, {
          kind: 'drainBackendServer',
          backendServer: step.server,
        });
      case 'submitThrough':
        return this.submit(step.node, {
          kind: 'undrainBackendServer',
          backendServer: step.server,
        });
      case 'repeat':
        return this.lastChange === null
          ? undefined
          : this.submit(null, this.lastChange, `change-${this.changes}`);
      case 'setOutage':
        return cluster.platform.setOutage(step.isDown);
      case 'dropResponse':
        return cluster.platform.dropNextResponse();
      case 'setLatency':
        return cluster.platform.setLatencyMs(step.latencyMs);
      case 'restart':
        cluster.kill(step.node);
        await this.advance(step.downMs);
        cluster.start(step.node);
        return;
      case 'pause': {
        const {clock} = cluster.getNode(step.node);
        clock.pause();
        await this.advance(step.durationMs);
        clock.resume();
        return;
      }
      case 'blockLink':
        return cluster.network.blockLink(getUrl(step.from), getUrl(step.to));
      case 'partition':
        return cluster.partition(
          step.left,
          NODES.filter(node => !step.left.includes(node)),
        );
      case 'heal':
        return cluster.network.heal();
    }
  }

  private submit(
    node: number | null,
    change: ConfigurationChange,
    repeatedId: string | null = null,
  ): void {
    const changeId = repeatedId ?? `change-${++this.changes}`;
    this.lastChange = change;
    const request = createRequest(changeId, change);
    const {platform, clock} = this.cluster;
    const random = SeededRandom.create(this.changes);
    const submission =
      node === null
        ? submitChange(request, {platform, clock, random})
        : this.cluster
            .getNode(node)
            .control.createHandler()
            .submitChange(request);
    this.outcomes.set(changeId, this.outcomes.get(changeId) ?? 'pending');
    this.pending.push(
      submission.then(response => {
        if (response.ok) {
          const {effect, version} = response.value;
          this.recordAccepted(changeId, effect, version);
          return;
        }
        const isUnknown = response.error.kind === 'outcomeUnknown';
        const isPending = this.outcomes.get(changeId) === 'pending';
        if (isPending) {
          this.outcomes.set(changeId, isUnknown ? 'unknown' : 'refused');
        }
      }),
    );
  }

  private recordAccepted(
    changeId: string,
    effect: 'accepted' | 'repeated' | 'unchanged',
    version: number,
  ): void {
    if (effect === 'unchanged') {
      this.outcomes.set(changeId, 'unchanged');
      return;
    }
    const before = this.versionByChange.get(changeId);
    expect(before ?? version).toBe(version);
    this.versionByChange.set(changeId, version);
    this.outcomes.set(changeId, 'accepted');
  }

  private async advance(durationMs: number): Promise<void> {
    await this.cluster.advance(durationMs);
    this.checkVersions();
  }

  /**
   * Checks that the version of a process never decreases and that a version
   * has the same object on all proxies.
   */
  private checkVersions(): void {
    for (const {control} of this.cluster.nodes.values()) {
      const version = control.configuration.getVersion();
      const before = this.heldVersions.get(control) ?? 0;
      expect(version).toBeGreaterThanOrEqual(before);
      this.heldVersions.set(control, version);
      const versionName = control.configuration.getVersionName();
      if (versionName !== null) {
        const known = this.objectByVersion.get(versionName.version);
        expect(known ?? versionName.objectName).toBe(versionName.objectName);
        this.objectByVersion.set(versionName.version, versionName.objectName);
      }
    }
  }

  private checkShares(): void {
    let sum = 0;
    for (const {control} of this.cluster.nodes.values()) {
      sum += control.membership.getShare(INSTANCE);
    }
    expect(sum).toBe(INSTANCE.maxConnections);
  }

  /**
   * Ends all faults, then checks that all proxies agree and that the outcome
   * reported for each change is the recorded one.
   */
  private async finish(): Promise<void> {
    this.cluster.platform.setOutage(false);
    this.cluster.platform.setLatencyMs(0);
    this.cluster.network.heal();
    await this.advance(CONVERGENCE_MS);
    await Promise.all(this.pending);
    const current = await readAcceptedConfiguration(this.cluster.platform);
    const held = current.ok ? current.value.held : null;
    for (const {control} of this.cluster.nodes.values()) {
      expect(control.configuration.getCurrent()).toEqual(held?.configuration);
      expect(control.canDispatch()).toBe(true);
    }
    this.checkOutcomes(held?.pointer?.changes ?? []);
    this.checkShares();
    this.cluster.dispose();
  }

  private checkOutcomes(
    recorded: readonly {readonly changeId: string; readonly version: number}[],
  ): void {
    for (const [changeId, outcome] of this.outcomes) {
      const entries = recorded.filter(entry => entry.changeId === changeId);
      expect(entries.length).toBeLessThanOrEqual(1);
      if (outcome === 'accepted') {
        expect(entries[0]?.version).toBe(this.versionByChange.get(changeId));
      }
      if (outcome === 'refused') {
        expect(entries).toEqual([]);
      }
    }
  }
}

function getUrl(node: number): string {
  return `http://entry-${node}:7000`;
}

/** Number of random sequences; `CONTROL_FUZZ_RUNS` overrides it. */
const RUN_COUNT = Number(process.env['CONTROL_FUZZ_RUNS'] ?? 40);
const SEED = Number(process.env['CONTROL_FUZZ_SEED'] ?? 20261);

describe('the control plane under faults', () => {
  it('keeps its invariants in random sequences of changes and faults', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, {minLength: 1, maxLength: 25}),
        steps => ControlFuzzRun.run(steps),
      ),
      {seed: SEED, numRuns: RUN_COUNT, endOnFailure: true},
    );
  });

  it('never assigns more connections than an instance has during restarts', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(
          fc.record({
            node: nodeArbitrary,
            isGraceful: fc.boolean(),
            downMs: fc.integer({min: 0, max: 9000}),
            upMs: fc.integer({min: 0, max: 9000}),
          }),
          {minLength: 1, maxLength: 6},
        ),
        restarts => runRestarts(restarts),
      ),
      {seed: SEED, numRuns: RUN_COUNT, endOnFailure: true},
    );
  });
});

interface Restart {
  readonly node: number;
  readonly isGraceful: boolean;
  readonly downMs: number;
  readonly upMs: number;
}

const SHARE_CHECK_INTERVAL_MS = 100;

/** Restarts proxies one by one while checking the sum of their shares. */
async function runRestarts(restarts: readonly Restart[]): Promise<void> {
  const cluster = FakeControlCluster.create(ZONES);
  const advanceAndCheckShares = async (durationMs: number) => {
    for (let ms = 0; ms < durationMs; ms += SHARE_CHECK_INTERVAL_MS) {
      await cluster.advance(SHARE_CHECK_INTERVAL_MS);
      expect(sumShares(cluster)).toBeLessThanOrEqual(INSTANCE.maxConnections);
    }
  };
  for (const node of NODES) {
    cluster.start(node);
  }
  await advanceAndCheckShares(5000);
  for (const {node, isGraceful, downMs, upMs} of restarts) {
    if (isGraceful) {
      cluster.getNode(node).control.membership.startLeaving();
      await advanceAndCheckShares(500);
      void cluster.getNode(node).control.membership.endLeaving();
      await cluster.advance(2);
    }
    cluster.kill(node);
    await advanceAndCheckShares(downMs);
    cluster.start(node);
    await advanceAndCheckShares(upMs);
  }
  await advanceAndCheckShares(10_000);
  expect(sumShares(cluster)).toBe(INSTANCE.maxConnections);
  cluster.dispose();
}

function sumShares(cluster: FakeControlCluster): number {
  let sum = 0;
  for (const {control} of cluster.nodes.values()) {
    sum += control.membership.getShare(INSTANCE);
  }
  return sum;
}
