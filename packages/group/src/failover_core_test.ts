import {describe, expect, it} from 'vitest';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {failure, success} from '@filbertrun/base/result.js';
import {reduceFailover} from './failover_core.js';
import type {
  FailoverCommand,
  FailoverEvent,
  ClaimReadOutcome,
} from './failover_messages.js';
import {
  createFailoverState,
  getServingPrimary,
  type FailoverState,
} from './failover_state.js';
import {GroupRules} from './group_rules.js';
import type {InstanceStatus} from './instance_control.js';

const ZONES = ['zone-1', 'zone-2', 'zone-3'];
const NO_CLAIM: ClaimReadOutcome = {kind: 'read', claim: null, revision: 0};

/** Sends events to the core and keeps the commands of the last one. */
class CoreHarness {
  private state: FailoverState = createFailoverState('db', 'vm', [
    'a',
    'b',
    'c',
  ]);
  commands: readonly FailoverCommand[] = [];
  nowMs = 1000;

  get phase(): string {
    return this.state.phase.kind;
  }

  get primary(): string | null {
    return getServingPrimary(this.state);
  }

  get attempt(): number {
    return this.state.attempt;
  }

  send(event: FailoverEvent): void {
    const step = reduceFailover(this.state, event, {
      nowMs: this.nowMs,
      random: SeededRandom.create(1),
      rules: GroupRules.create(),
      localZone: 'zone-2',
    });
    this.state = step.state;
    this.commands = step.commands;
  }

  observe(status: Partial<InstanceStatus>): void {
    this.send({kind: 'statusObserved', status: createStatus(status)});
  }

  tick(elapsedMs = 50, monitorRank: number | null = 0): void {
    this.nowMs += elapsedMs;
    this.send({kind: 'tick', monitorRank, knownZones: ZONES});
  }

  /** A healthy group with `a` as primary of term 1. */
  observeHealthy(): void {
    this.observe({backendServer: 'a', role: 'primary', primary: null});
    this.observe({backendServer: 'b'});
    this.observe({backendServer: 'c'});
  }

  /** The primary refuses connections and is unresponsive to both replicas. */
  observeCrash(): void {
    this.send({kind: 'instanceFailed', backendServer: 'a', health: 'refused'});
    this.observe({backendServer: 'b', primarySilentForMs: 120});
    this.observe({backendServer: 'c', primarySilentForMs: 120});
  }

  /** Advances the core until it has requested the claim. */
  reachClaim(): void {
    this.observeHealthy();
    this.observeCrash();
    this.tick();
    this.send({kind: 'votesCollected', attempt: this.attempt, votes: []});
    this.tick();
  }

  /** Advances the core until it raises the term to 2. */
  reachFence(): void {
    this.reachClaim();
    this.send({kind: 'claimRead', attempt: this.attempt, outcome: NO_CLAIM});
    this.send({
      kind: 'claimWritten',
      attempt: this.attempt,
      outcome: 'written',
    });
  }

  raise(status: Partial<InstanceStatus>): void {
    const raised = createStatus({
      term: 2,
      claimId: 'x',
      primary: null,
      ...status,
    });
    this.send({
      kind: 'termRaised',
      attempt: this.attempt,
      backendServer: raised.backendServer,
      result: success(raised),
    });
  }
}

function createStatus(status: Partial<InstanceStatus>): InstanceStatus {
  return {
    backendServer: 'b',
    role: 'replica',
    term: 1,
    claimId: 'first',
    position: {term: 1, position: 10},
    primary: 'a',
    primarySilentForMs: 10,
    replicas: [],
    ...status,
  };
}

function getKinds(commands: readonly FailoverCommand[]): readonly string[] {
  return commands.map(command => command.kind);
}

describe('failover core: suspicion', () => {
  it('suspects nothing while the primary responds', () => {
    const core = new CoreHarness();
    core.observeHealthy();
    core.tick();
    expect(core.phase).toBe('watching');
    expect(core.primary).toBe('a');
  });

  it('collects votes of the other proxies when the primary fails', () => {
    const core = new CoreHarness();
    core.observeHealthy();
    core.send({kind: 'instanceFailed', backendServer: 'a', health: 'silent'});
    core.tick();
    expect(getKinds(core.commands)).toContain('collectVotes');
  });

  it('starts no change when only this proxy cannot reach the primary', () => {
    const core = new CoreHarness();
    core.observeHealthy();
    core.send({kind: 'instanceFailed', backendServer: 'a', health: 'silent'});
    core.tick();
    const votes = ZONES.map(zone => ({
      entryVm: `vm-${zone}`,
      availabilityZone: zone,
      health: 'healthy' as const,
    }));
    core.send({kind: 'votesCollected', attempt: core.attempt, votes});
    for (let round = 0; round < 10; round++) {
      core.tick();
      expect(getKinds(core.commands)).not.toContain('readClaim');
    }
  });

  it('starts a change when the proxies of most zones cannot reach the primary', () => {
    const core = new CoreHarness();
    core.observeHealthy();
    core.send({kind: 'instanceFailed', backendServer: 'a', health: 'silent'});
    core.tick();
    const votes = [
      {
        entryVm: 'vm-3',
        availabilityZone: 'zone-3',
        health: 'silent' as const,
      },
    ];
    core.send({kind: 'votesCollected', attempt: core.attempt, votes});
    core.tick();
    expect(getKinds(core.commands)).toEqual(['readClaim']);
  });

  it('starts a change when a majority of the instances has lost the primary', () => {
    const core = new CoreHarness();
    core.reachClaim();
    expect(getKinds(core.commands)).toEqual(['readClaim']);
  });

  it('gives the monitor ranked before it time to start the change', () => {
    const core = new CoreHarness();
    core.observeHealthy();
    core.observeCrash();
    core.tick(50, 1);
    core.send({kind: 'votesCollected', attempt: core.attempt, votes: []});
    core.tick(50, 1);
    expect(getKinds(core.commands)).not.toContain('readClaim');
    core.tick(150, 1);
    expect(getKinds(core.commands)).toEqual(['readClaim']);
  });

  it('does nothing when this proxy is not a monitor', () => {
    const core = new CoreHarness();
    core.observeHealthy();
    core.observeCrash();
    core.tick(50, null);
    expect(core.phase).toBe('watching');
  });

  it('suspects nothing right after this process was stalled', () => {
    const core = new CoreHarness();
    core.observeHealthy();
    core.observeCrash();
    core.send({kind: 'stallDetected'});
    core.tick();
    expect(core.phase).toBe('watching');
    expect(core.commands).toEqual([]);
  });
});

describe('failover core: claim', () => {
  it('proceeds when a write of unknown outcome turns out to have taken effect', () => {
    const core = new CoreHarness();
    core.reachClaim();
    core.send({kind: 'claimRead', attempt: core.attempt, outcome: NO_CLAIM});
    core.send({
      kind: 'claimWritten',
      attempt: core.attempt,
      outcome: 'outcomeUnknown',
    });
    expect(getKinds(core.commands)).toEqual(['readClaim']);
    const claim = {term: 2, claimId: `vm.${core.attempt}`, primary: null};
    core.send({
      kind: 'claimRead',
      attempt: core.attempt,
      outcome: {kind: 'read', claim, revision: 1},
    });
    expect(core.phase).toBe('fencing');
  });

  it('backs off when a write of unknown outcome turns out to have failed', () => {
    const core = new CoreHarness();
    core.reachClaim();
    core.send({kind: 'claimRead', attempt: core.attempt, outcome: NO_CLAIM});
    core.send({
      kind: 'claimWritten',
      attempt: core.attempt,
      outcome: 'outcomeUnknown',
    });
    core.send({kind: 'claimRead', attempt: core.attempt, outcome: NO_CLAIM});
    expect(core.phase).toBe('watching');
  });

  it('backs off when another proxy holds an unfinished claim', () => {
    const core = new CoreHarness();
    core.reachClaim();
    const claim = {term: 2, claimId: 'other.1', primary: null};
    core.send({
      kind: 'claimRead',
      attempt: core.attempt,
      outcome: {kind: 'read', claim, revision: 1},
    });
    expect(core.phase).toBe('watching');
  });

  it('goes on to fence the instances while the table is unavailable', () => {
    const core = new CoreHarness();
    core.reachClaim();
    core.tick(300);
    expect(getKinds(core.commands)).toEqual([
      'raiseTerm',
      'raiseTerm',
      'raiseTerm',
    ]);
  });
});

describe('failover core: fencing and promotion', () => {
  it('does not promote before a majority has accepted the term', () => {
    const core = new CoreHarness();
    core.reachFence();
    core.raise({backendServer: 'b'});
    expect(core.commands).toEqual([]);
  });

  it('promotes the instance whose log ends last by term and position', () => {
    const core = new CoreHarness();
    core.reachFence();
    core.raise({backendServer: 'b', position: {term: 0, position: 99}});
    core.raise({backendServer: 'c', position: {term: 1, position: 5}});
    expect(core.commands).toMatchObject([
      {kind: 'promote', backendServer: 'c', term: 2},
    ]);
  });

  it('does not promote an isolated primary that still responds, although its log is longer', () => {
    const core = new CoreHarness();
    core.reachFence();
    core.raise({backendServer: 'a', position: {term: 1, position: 99}});
    core.raise({backendServer: 'b'});
    expect(core.commands).toEqual([]);
    core.raise({backendServer: 'c'});
    expect(core.commands).toMatchObject([
      {kind: 'promote', backendServer: 'b', term: 2},
    ]);
  });

  it('promotes the old primary again when there is no majority without it', () => {
    const core = new CoreHarness();
    core.reachFence();
    core.raise({backendServer: 'a', position: {term: 1, position: 99}});
    core.raise({backendServer: 'b'});
    core.tick(200);
    expect(core.commands).toMatchObject([
      {kind: 'promote', backendServer: 'a', term: 2},
    ]);
  });

  it('announces the new primary and redirects the others', () => {
    const core = new CoreHarness();
    core.reachFence();
    core.raise({backendServer: 'b'});
    core.raise({backendServer: 'c'});
    core.send({
      kind: 'promoted',
      attempt: core.attempt,
      backendServer: 'b',
      result: success(createStatus({role: 'primary', term: 2})),
    });
    expect(getKinds(core.commands)).toEqual([
      'announce',
      'follow',
      'follow',
      'publishClaim',
    ]);
    expect(core.primary).toBe('b');
  });

  it('promotes no second instance when the outcome of the first promotion is unknown', () => {
    const core = new CoreHarness();
    core.reachFence();
    core.raise({backendServer: 'b'});
    core.raise({backendServer: 'c'});
    core.send({
      kind: 'promoted',
      attempt: core.attempt,
      backendServer: 'b',
      result: failure({kind: 'timedOut'}),
    });
    expect(core.commands).toEqual([]);
    expect(core.phase).toBe('watching');
  });

  it('ignores responses to an abandoned attempt', () => {
    const core = new CoreHarness();
    core.reachFence();
    const oldAttempt = core.attempt;
    core.send({kind: 'stallDetected'});
    for (const backendServer of ['b', 'c']) {
      core.send({
        kind: 'termRaised',
        attempt: oldAttempt,
        backendServer,
        result: success(createStatus({backendServer, term: 2})),
      });
    }
    expect(core.commands).toEqual([]);
  });

  it('makes a replaced primary follow the new one when it returns', () => {
    const core = new CoreHarness();
    core.observe({backendServer: 'b', role: 'primary', term: 2, primary: null});
    core.observe({backendServer: 'c', term: 2, primary: 'b'});
    core.observe({backendServer: 'a', role: 'primary', term: 1, primary: null});
    core.tick();
    expect(core.commands).toMatchObject([
      {kind: 'follow', backendServer: 'a', primary: 'b', term: 2},
    ]);
  });

  it('prefers an announced promotion to an earlier status', () => {
    const core = new CoreHarness();
    core.observeHealthy();
    core.observe({backendServer: 'b', term: 2, claimId: 'x', primary: null});
    const view = {databaseGroup: 'db', term: 2, claimId: 'x', primary: 'b'};
    core.send({kind: 'viewReceived', view});
    expect(core.primary).toBe('b');
  });

  it('ignores a primary of an older term', () => {
    const core = new CoreHarness();
    core.observe({backendServer: 'b', role: 'primary', term: 2, primary: null});
    core.observe({backendServer: 'a', role: 'primary', term: 1, primary: null});
    expect(core.primary).toBe('b');
  });
});
