import type {LogPosition} from '@filbertrun/model/log_position.js';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  choosePromotionTarget,
  findRequirement,
  type FencedInstance,
} from './choose_promotion_target.js';

function at(position: number): LogPosition {
  return {term: 1, position};
}

function replica(
  backendServer: string,
  position: number,
  changes: Partial<FencedInstance> = {},
): FencedInstance {
  return {
    backendServer,
    isOldPrimary: false,
    isFenced: true,
    isDraining: false,
    isPromotable: true,
    isInLeaderZone: false,
    receivedPosition: at(position),
    ...changes,
  };
}

describe('choosePromotionTarget', () => {
  it('chooses the longest log once every replica is paused', () => {
    const choice = choosePromotionTarget(
      [replica('a', 5), replica('b', 9)],
      null,
    );
    expect(choice).toMatchObject({kind: 'promote', target: 'b'});
  });

  it('waits while a replica is not paused and the old primary is missing', () => {
    const instances = [
      replica('a', 9),
      replica('b', 9, {isFenced: false, receivedPosition: null}),
    ];
    expect(choosePromotionTarget(instances, null).kind).toBe('wait');
  });

  it('chooses a replica that has caught up with the old primary once that stepped down', () => {
    const instances = [
      replica('old', 9, {isOldPrimary: true}),
      replica('a', 9),
      replica('b', 9, {isFenced: false, receivedPosition: null}),
    ];
    expect(choosePromotionTarget(instances, null)).toMatchObject({
      kind: 'promote',
      target: 'a',
    });
  });

  it('prefers an instance that is not draining to a draining one with the same log', () => {
    const instances = [replica('a', 9, {isDraining: true}), replica('b', 9)];
    expect(choosePromotionTarget(instances, null)).toMatchObject({target: 'b'});
  });

  it('prefers an instance outside the zone of the failover leader', () => {
    const instances = [
      replica('a', 9, {isInLeaderZone: true}),
      replica('b', 9),
    ];
    expect(choosePromotionTarget(instances, null)).toMatchObject({target: 'b'});
  });

  it('waits if no instance has reached the highest acknowledged position', () => {
    expect(choosePromotionTarget([replica('a', 5)], at(6)).kind).toBe('wait');
  });

  it('never chooses an instance that lacks an acknowledged commit', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            position: fc.nat(20),
            isFenced: fc.boolean(),
            isDraining: fc.boolean(),
          }),
          {minLength: 1, maxLength: 4},
        ),
        fc.record({isFenced: fc.boolean(), extra: fc.nat(5)}),
        (drawn, primary) => {
          const replicas = drawn.map((one, index) =>
            replica(`r${index}`, one.position, {
              isFenced: one.isFenced,
              isDraining: one.isDraining,
              receivedPosition: one.isFenced ? at(one.position) : null,
            }),
          );
          // Any replica may hold the newest acknowledged commit. An unfenced
          // one may still confirm more, up to the end of the primary's log.
          let acknowledged = 0;
          let hasUnfencedReplica = false;
          for (const one of drawn) {
            acknowledged = Math.max(acknowledged, one.position);
            hasUnfencedReplica ||= !one.isFenced;
          }
          const end = acknowledged + primary.extra;
          const old = replica('old', end, {
            isOldPrimary: true,
            isFenced: primary.isFenced,
            receivedPosition: primary.isFenced ? at(end) : null,
          });
          const choice = choosePromotionTarget([old, ...replicas], null);
          if (choice.kind === 'wait') {
            return;
          }
          expect(choice.position.position).toBeGreaterThanOrEqual(acknowledged);
          expect(hasUnfencedReplica && !primary.isFenced).toBe(false);
        },
      ),
    );
  });
});

describe('findRequirement', () => {
  const paused = [replica('a', 5), replica('b', 9)];
  const withOldPrimary = [
    replica('old', 9, {isOldPrimary: true}),
    replica('a', 9, {isFenced: false, receivedPosition: null}),
  ];

  // Guards against a log that names the wrong reason for a choice.
  it.each([
    ['pausedReplicas', paused, null, 9],
    ['pausedReplicas', paused, at(9), 9],
    ['proxies', paused, at(10), 10],
    ['oldPrimary', withOldPrimary, at(8), 9],
  ] as const)('names %s', (source, instances, acknowledged, position) => {
    expect(findRequirement(instances, acknowledged)).toEqual({
      kind: 'known',
      position: at(position),
      source,
    });
  });
});
