import {SeededRandom} from '@filbertrun/base/random_source.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {comparePositions} from '@filbertrun/model/log_position.js';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ReplicationCore} from './replication_core.js';
import type {LogRecord} from './replication_log.js';
import type {ReplicationMessage} from './replication_message.js';

const MEMBERS = ['a', 'b', 'c'] as const;
type Member = (typeof MEMBERS)[number];

interface Envelope {
  readonly to: Member;
  readonly message: ReplicationMessage<number>;
}

/**
 * Three replication cores on a simulated network that delays, drops, duplicates
 * and reorders messages.
 */
class Simulation {
  private readonly clock = VirtualClock.create();
  private readonly cores = new Map<Member, ReplicationCore<number>>();
  /** Records that each member has applied. */
  private readonly appliedRecords = new Map<Member, LogRecord<number>[]>();
  private readonly network: Envelope[] = [];
  /** Changes that a majority held, by term and position. */
  private readonly majorityChanges = new Map<string, number | null>();
  private readonly primaryOfTerm = new Map<number, Member>();
  private nextChange = 1;
  private nextClaim = 2;

  constructor(private readonly random: SeededRandom) {
    for (const member of MEMBERS) {
      const peers = MEMBERS.filter(peer => peer !== member);
      this.cores.set(
        member,
        ReplicationCore.create({
          backendServer: member,
          peers,
          clock: this.clock,
        }),
      );
      this.appliedRecords.set(member, []);
    }
    for (const member of MEMBERS) {
      this.get(member).raiseTerm(1, 'claim-1');
    }
    this.get('a').promote(1, 'claim-1');
    this.runEffects('a');
  }

  run(steps: readonly Step[]): void {
    for (const step of steps) {
      this.runStep(step);
      for (const member of MEMBERS) {
        this.runEffects(member);
      }
    }
  }

  /** Delivers all messages, then checks that all logs have the same end. */
  converge(): void {
    this.failOver(['a', 'b', 'c']);
    for (let round = 0; round < 60; round++) {
      this.clock.advance(50);
      for (const member of MEMBERS) {
        this.get(member).handleTick();
        this.runEffects(member);
      }
      for (const envelope of this.network.splice(0)) {
        this.get(envelope.to).handleMessage(envelope.message);
        this.runEffects(envelope.to);
      }
    }
    const ends = MEMBERS.map(member => this.get(member).getEnd());
    expect(ends[1]).toEqual(ends[0]);
    expect(ends[2]).toEqual(ends[0]);
  }

  private get(member: Member): ReplicationCore<number> {
    return this.cores.get(member) as ReplicationCore<number>;
  }

  private runStep(step: Step): void {
    const core = this.get(step.member);
    switch (step.kind) {
      case 'append':
        if (core.getRole() === 'primary') {
          core.appendChange(this.nextChange++);
        }
        return;
      case 'tick':
        this.clock.advance(step.advanceMs);
        core.handleTick();
        return;
      case 'deliver':
        this.deliver(step.isDuplicated);
        return;
      case 'drop':
        this.takeEnvelope();
        return;
      case 'restart':
        core.restart();
        return;
      case 'failOver':
        this.failOver(MEMBERS.filter(member => member !== step.member));
        return;
    }
  }

  private takeEnvelope(): Envelope | null {
    if (this.network.length === 0) {
      return null;
    }
    const index = this.random.nextInteger(0, this.network.length - 1);
    return this.network.splice(index, 1)[0] ?? null;
  }

  private deliver(isDuplicated: boolean): void {
    const envelope = this.takeEnvelope();
    if (envelope === null) {
      return;
    }
    if (isDuplicated) {
      this.network.push(envelope);
    }
    this.get(envelope.to).handleMessage(envelope.message);
  }

  private failOver(reachable: readonly Member[]): void {
    const statuses = reachable.map(member => this.get(member).getStatus());
    const term = Math.max(...statuses.map(status => status.term)) + 1;
    const claimId = `claim-${this.nextClaim++}`;
    const fenced = reachable.filter(member =>
      this.get(member).raiseTerm(term, claimId),
    );
    if (fenced.length < 2) {
      return;
    }
    const newPrimary = fenced.reduce((best, member) =>
      comparePositions(this.get(member).getEnd(), this.get(best).getEnd()) > 0
        ? member
        : best,
    );
    expect(this.get(newPrimary).promote(term, claimId)).toBe(true);
    for (const member of reachable) {
      this.get(member).follow(term, claimId, newPrimary);
    }
  }

  private runEffects(member: Member): void {
    const applied = this.appliedRecords.get(member) as LogRecord<number>[];
    for (const effect of this.get(member).takeEffects()) {
      if (effect.kind === 'send') {
        this.network.push({to: effect.to as Member, message: effect.message});
      }
      if (effect.kind === 'applyRecord') {
        applied.push(effect.record);
      }
      if (effect.kind === 'undoRecord') {
        expect(applied.pop()).toEqual(effect.record);
      }
      if (effect.kind === 'majorityAdvanced') {
        this.recordMajorityChanges(member, effect.majority.position);
      }
      if (effect.kind === 'roleChanged') {
        this.checkNewPrimary(member);
      }
    }
    this.applyLocalAppends(member, applied);
  }

  /** Applies the records that a primary appended, which have no effect. */
  private applyLocalAppends(
    member: Member,
    applied: LogRecord<number>[],
  ): void {
    const log = this.get(member).getLog();
    let record = log.getRecord(applied.length + 1);
    while (record !== null) {
      applied.push(record);
      record = log.getRecord(applied.length + 1);
    }
    expect(applied.length).toBe(this.get(member).getEnd().position);
  }

  private recordMajorityChanges(member: Member, end: number): void {
    for (let position = 1; position <= end; position++) {
      const record = this.get(member).getLog().getRecord(position);
      const value = record?.body.kind === 'change' ? record.body.change : null;
      this.majorityChanges.set(`${record?.term}/${position}`, value);
    }
  }

  /**
   * Checks that a term has one primary and that a new primary holds every
   * record that a majority has held.
   */
  private checkNewPrimary(member: Member): void {
    const core = this.get(member);
    if (core.getRole() !== 'primary') {
      return;
    }
    const primaryOfTerm = this.primaryOfTerm.get(core.getTerm()) ?? member;
    expect(primaryOfTerm).toBe(member);
    this.primaryOfTerm.set(core.getTerm(), member);
    for (const [key, value] of this.majorityChanges) {
      const position = Number(key.split('/')[1]);
      const record = core.getLog().getRecord(position);
      expect(`${record?.term}/${position}`).toBe(key);
      const found = record?.body.kind === 'change' ? record.body.change : null;
      expect(found).toBe(value);
    }
  }
}

interface Step {
  readonly kind:
    'append' | 'tick' | 'deliver' | 'drop' | 'restart' | 'failOver';
  readonly member: Member;
  readonly advanceMs: number;
  readonly isDuplicated: boolean;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.oneof(
    {weight: 6, arbitrary: fc.constant('append' as const)},
    {weight: 8, arbitrary: fc.constant('tick' as const)},
    {weight: 20, arbitrary: fc.constant('deliver' as const)},
    {weight: 2, arbitrary: fc.constant('drop' as const)},
    {weight: 1, arbitrary: fc.constant('restart' as const)},
    {weight: 1, arbitrary: fc.constant('failOver' as const)},
  ),
  member: fc.constantFrom(...MEMBERS),
  advanceMs: fc.integer({min: 0, max: 40}),
  isDuplicated: fc.boolean(),
});

describe('replication under delayed, dropped, duplicated and reordered messages', () => {
  it('keeps records held by a majority across promotions, and all logs converge', () => {
    fc.assert(
      fc.property(
        fc.array(stepArbitrary, {minLength: 20, maxLength: 300}),
        fc.integer({min: 1, max: 1_000_000}),
        (steps, seed) => {
          const simulation = new Simulation(SeededRandom.create(seed));
          simulation.run(steps);
          simulation.converge();
        },
      ),
      {numRuns: 300, seed: 20_261},
    );
  });
});
