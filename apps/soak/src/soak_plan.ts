import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {CutMode} from './links.js';
import type {SoakEventKind} from './trace.js';

/** The rounds of a run, drawn from its seed. */

/**
 * The instance that a fault affects; `notTarget` is a replica other than the
 * one that the record names as the target. @internal
 */
export type InstanceChoice =
  'primary' | 'replica' | 'otherReplica' | 'target' | 'notTarget';

/** A fault and its parameters. @internal */
export type Fault =
  | {
      readonly kind:
        'killLeader' | 'killAll' | 'killAllButLeader' | 'stopLeader';
    }
  | {
      readonly kind: 'stopLeaders';
      readonly count: number;
      readonly gapMs: number;
    }
  | {
      readonly kind: 'freezeLeader' | 'freezeAny' | 'slowStore' | 'storeDown';
      readonly durationMs: number;
    }
  | {
      readonly kind: 'lostStoreAnswers' | 'lostPromotionAnswer';
      readonly durationMs: number;
    }
  | {readonly kind: 'latePromotion'; readonly acceptMs: number}
  | {
      readonly kind: 'cutLink';
      readonly mode: CutMode;
      readonly instance: InstanceChoice;
      readonly durationMs: number;
    }
  | {
      readonly kind: 'cutZone';
      readonly withStore: boolean;
      readonly durationMs: number;
    }
  | {
      readonly kind: 'deafen';
      readonly instance: InstanceChoice;
      readonly durationMs: number;
    }
  | {
      readonly kind: 'restart';
      readonly instance: InstanceChoice;
      readonly downMs: number;
      readonly listedAfterMs: number;
      readonly hasNewId: boolean;
    }
  | {
      readonly kind: 'drain';
      readonly instance: InstanceChoice;
      readonly drainMs: number;
      readonly downMs: number;
      readonly listedAfterMs: number;
    };

/** A fault that follows an event. @internal */
export interface TriggeredFault {
  readonly event: SoakEventKind;
  readonly delayMs: number;
  readonly fault: Fault;
}

/** One round: a cause of a change of primary, and faults in phase with it. */
export interface Round {
  readonly calmMs: number;
  /** Time between the kills of all proxies; null if they are not killed. */
  readonly killGapMs: number | null;
  /** Time from the start of all proxies, or from the calm, to the cause. */
  readonly causeAfterMs: number;
  /** Deafness, relative to the cause; null for none. */
  readonly deafFromMs: number | null;
  readonly deafForMs: number;
  readonly cause: Fault;
  readonly promotionMs: number;
  readonly acceptMs: number;
  readonly faults: readonly TriggeredFault[];
}

const EVENTS = [
  'intentRecorded',
  'targetRecorded',
  'pauseReceived',
  'stepDownReceived',
  'promoteArrived',
  'promoteArrived',
  'promoteEffective',
  'commitAcknowledged',
] as const;

/** Draws one round. @internal */
export function drawRound(random: RandomSource): Round {
  const isSeries = random.nextFloat() < 0.6;
  const killsAll = random.nextFloat() < 0.35;
  const isDeaf = random.nextFloat() < (isSeries ? 0.15 : 0.5);
  return {
    calmMs: random.nextInteger(200, 1_500),
    killGapMs: killsAll ? random.nextInteger(0, 60) : null,
    causeAfterMs: killsAll ? random.nextInteger(0, 3_500) : 0,
    deafFromMs: isDeaf ? random.nextInteger(-1_500, 300) : null,
    deafForMs: random.nextInteger(2_000, 6_500),
    cause: drawCause(random, isSeries ? 0.7 : 0.4),
    promotionMs: random.nextInteger(isSeries ? 600 : 300, 1_000),
    acceptMs: pick(random, [0, 0, 20, 200, 600, 1_500]),
    faults: isSeries ? drawSeries(random) : drawIndependent(random, killsAll),
  };
}

function drawIndependent(
  random: RandomSource,
  killsAll: boolean,
): readonly TriggeredFault[] {
  const events = killsAll ? [...EVENTS, 'proxiesStarted' as const] : EVENTS;
  const count = pick(random, [1, 1, 2, 2, 3]);
  return Array.from({length: count}, () => ({
    event: pick(random, events),
    delayMs: drawDelayMs(random),
    fault: drawFault(random),
  }));
}

/**
 * One replica lacks what is written from the choice of a target on, and the
 * proxies that know of the order go away: a successor that gives an order of its
 * own, or a choice that rests on too few logs, then undoes acknowledged writes.
 */
function drawSeries(random: RandomSource): readonly TriggeredFault[] {
  const deafness: TriggeredFault = {
    event: 'targetRecorded',
    delayMs: random.nextInteger(0, 300),
    fault: {
      kind: 'deafen',
      instance: 'notTarget',
      durationMs: random.nextInteger(2_000, 6_500),
    },
  };
  const loss: TriggeredFault = {
    event: pick(random, ['intentRecorded', 'targetRecorded', 'promoteArrived']),
    delayMs: drawDelayMs(random),
    fault: drawProxyLoss(random),
  };
  return random.nextFloat() < 0.5
    ? [deafness, loss]
    : [deafness, loss, ...drawIndependent(random, false).slice(0, 1)];
}

function drawProxyLoss(random: RandomSource): Fault {
  const kind = pick(random, [
    'stopLeaders',
    'stopLeaders',
    'killLeader',
    'killAll',
    'freezeLeader',
  ] as const);
  switch (kind) {
    case 'stopLeaders':
      return drawStops(random);
    case 'freezeLeader':
      return {kind, durationMs: random.nextInteger(1_000, 4_000)};
    default:
      return {kind};
  }
}

function drawStops(random: RandomSource): Fault {
  return {
    kind: 'stopLeaders',
    count: random.nextInteger(2, 3),
    gapMs: random.nextInteger(300, 600),
  };
}

/** Faults in phase mostly follow at once, and at times a while later. */
function drawDelayMs(random: RandomSource): number {
  return random.nextFloat() < 0.6
    ? random.nextInteger(0, 200)
    : random.nextInteger(200, 1_500);
}

function drawCause(random: RandomSource, drainShare: number): Fault {
  if (random.nextFloat() < drainShare) {
    return drawDrain(random, 'primary');
  }
  if (random.nextFloat() < 0.6) {
    return drawRestart(random, 'primary', random.nextInteger(300, 5_000));
  }
  return drawCutZone(random);
}

function drawFault(random: RandomSource): Fault {
  const kind = pick(random, [
    'killLeader',
    'killLeader',
    'killAll',
    'killAllButLeader',
    'stopLeader',
    'stopLeaders',
    'stopLeaders',
    'stopLeaders',
    'freezeLeader',
    'freezeAny',
    'slowStore',
    'storeDown',
    'lostStoreAnswers',
    'lostPromotionAnswer',
    'latePromotion',
    'cutLink',
    'cutZone',
    'deafen',
    'restart',
    'restart',
  ] as const);
  switch (kind) {
    case 'killLeader':
    case 'killAll':
    case 'killAllButLeader':
    case 'stopLeader':
      return {kind};
    case 'stopLeaders':
      return drawStops(random);
    case 'freezeLeader':
    case 'freezeAny':
      return {kind, durationMs: random.nextInteger(1_000, 4_000)};
    case 'slowStore':
    case 'storeDown':
    case 'lostStoreAnswers':
    case 'lostPromotionAnswer':
      return {kind, durationMs: random.nextInteger(300, 2_500)};
    case 'latePromotion':
      return {kind, acceptMs: random.nextInteger(200, 2_000)};
    case 'cutLink':
      return {
        kind,
        mode: pick(random, [
          'silent',
          'silentRequests',
          'silentResponses',
          'reset',
        ]),
        instance: pick(random, [
          'primary',
          'replica',
          'otherReplica',
          'target',
          'notTarget',
        ]),
        durationMs: random.nextInteger(300, 4_000),
      };
    case 'cutZone':
      return drawCutZone(random);
    case 'deafen':
      return {
        kind,
        instance: pick(random, ['replica', 'otherReplica', 'notTarget']),
        durationMs: random.nextInteger(500, 5_000),
      };
    case 'restart':
      return drawRestart(
        random,
        pick(random, [
          'primary',
          'replica',
          'otherReplica',
          'target',
          'notTarget',
        ]),
        random.nextInteger(100, 1_500),
      );
  }
}

function drawDrain(random: RandomSource, instance: InstanceChoice): Fault {
  return {
    kind: 'drain',
    instance,
    drainMs: random.nextInteger(2_000, 5_000),
    downMs: random.nextInteger(100, 500),
    listedAfterMs: random.nextInteger(0, 3_000),
  };
}

function drawRestart(
  random: RandomSource,
  instance: InstanceChoice,
  downMs: number,
): Fault {
  return {
    kind: 'restart',
    instance,
    downMs,
    listedAfterMs: pick(random, [0, 100, 800, 3_000]),
    hasNewId: random.nextFloat() < 0.5,
  };
}

function drawCutZone(random: RandomSource): Fault {
  return {
    kind: 'cutZone',
    withStore: random.nextFloat() < 0.7,
    durationMs: random.nextInteger(2_500, 6_000),
  };
}

function pick<T>(random: RandomSource, choices: readonly T[]): T {
  const choice = choices[random.nextInteger(0, choices.length - 1)];
  if (choice === undefined) {
    throw new Error('nothing to choose from');
  }
  return choice;
}
