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
  | {readonly kind: 'killLeader' | 'killAllButLeader' | 'stopLeader'}
  | {readonly kind: 'killAll'; readonly gapMs: number}
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

/** A fault at a time of its round. @internal */
export interface TimedFault {
  readonly atMs: number;
  readonly fault: Fault;
}

/** One round: faults that change the primary, and faults in phase with it. */
export interface Round {
  readonly calmMs: number;
  /** Time from the acceptance of an order to its effect. */
  readonly promotionMs: number;
  /** Time until an order is accepted. */
  readonly acceptMs: number;
  readonly timed: readonly TimedFault[];
  /** Each follows the first event of its kind. */
  readonly triggered: readonly TriggeredFault[];
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

/** Kinds of rounds. @internal */
export const ROUND_KINDS = ['independent', 'series', 'amnesia'] as const;

/** A kind of round. @internal */
export type RoundKind = (typeof ROUND_KINDS)[number];

/** Draws one round of one of the given kinds. @internal */
export function drawRound(
  random: RandomSource,
  kinds: readonly RoundKind[],
): Round {
  const kind = pick(random, kinds);
  if (kind === 'amnesia') {
    return drawAmnesia(random);
  }
  const isSeries = kind === 'series';
  const triggered = isSeries
    ? drawSeries(random)
    : drawIndependent(random, EVENTS);
  const round = drawPlatform(random, isSeries ? 600 : 300);
  const cause = drawCause(random, isSeries ? 0.7 : 0.4);
  const timed = isSeries ? [] : drawDeafness(random);
  if (random.nextFloat() < 0.65) {
    const atMs = random.nextInteger(0, 1_500);
    return {...round, timed: [...timed, {atMs, fault: cause}], triggered};
  }
  const start: TriggeredFault = {
    event: 'proxiesStarted',
    delayMs: random.nextInteger(0, 3_500),
    fault: cause,
  };
  return {
    ...round,
    timed: [...timed, {atMs: 0, fault: drawKillAll(random)}],
    triggered: [start, ...triggered],
  };
}

function drawPlatform(
  random: RandomSource,
  minimumMs: number,
): Pick<Round, 'calmMs' | 'promotionMs' | 'acceptMs'> {
  return {
    calmMs: random.nextInteger(200, 1_000),
    promotionMs: random.nextInteger(minimumMs, 1_000),
    acceptMs: pick(random, [0, 0, 20, 200, 600, 1_500]),
  };
}

function drawDeafness(random: RandomSource): readonly TimedFault[] {
  const fault: Fault = {
    kind: 'deafen',
    instance: 'replica',
    durationMs: random.nextInteger(2_000, 6_500),
  };
  return random.nextFloat() < 0.5
    ? [{atMs: random.nextInteger(0, 1_500), fault}]
    : [];
}

function drawKillAll(random: RandomSource): Fault {
  return {kind: 'killAll', gapMs: random.nextInteger(0, 60)};
}

function drawIndependent(
  random: RandomSource,
  events: readonly SoakEventKind[],
): readonly TriggeredFault[] {
  const count = pick(random, [1, 1, 2, 2, 3]);
  return Array.from({length: count}, () => ({
    event: pick(random, events),
    delayMs: drawDelayMs(random),
    fault: drawFault(random),
  }));
}

/**
 * One replica receives nothing, the other one has just come back and is not
 * listed yet or about to, the primary is lost, and all proxies start again, so
 * that none of them remembers a position.
 */
function drawAmnesia(random: RandomSource): Round {
  const backAtMs = random.nextInteger(200, 1_000);
  const returns: Fault = {
    kind: 'restart',
    instance: 'otherReplica',
    downMs: random.nextInteger(100, 400),
    listedAfterMs: pick(random, [0, 500, 3_000, 3_000]),
    hasNewId: random.nextFloat() < 0.8,
  };
  const leaves = {...drawDrain(random, 'otherReplica'), drainMs: 600};
  const timed: TimedFault[] = [
    {
      atMs: 0,
      fault: {kind: 'deafen', instance: 'replica', durationMs: 10_000},
    },
    {atMs: backAtMs, fault: random.nextFloat() < 0.6 ? returns : leaves},
  ];
  const causeAtMs = backAtMs + random.nextInteger(300, 1_500);
  timed.push({atMs: causeAtMs, fault: drawCause(random, 0.1)});
  const kill = drawKillAll(random);
  const triggered: TriggeredFault[] = [];
  if (random.nextFloat() < 0.4) {
    timed.push({atMs: causeAtMs + random.nextInteger(-100, 100), fault: kill});
  } else {
    const event = pick(random, EVENTS.slice(0, EVENTS.length - 2));
    triggered.push({event, delayMs: drawDelayMs(random), fault: kill});
  }
  return {...drawPlatform(random, 300), timed, triggered};
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
    : [deafness, loss, ...drawIndependent(random, EVENTS).slice(0, 1)];
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
    case 'killAll':
      return drawKillAll(random);
    case 'killLeader':
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
  if (random.nextFloat() < 0.7) {
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
    case 'killAll':
      return drawKillAll(random);
    case 'killLeader':
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

function drawDrain(
  random: RandomSource,
  instance: InstanceChoice,
): Extract<Fault, {readonly kind: 'drain'}> {
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
