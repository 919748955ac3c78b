import fc from 'fast-check';

/**
 * Generators of scenarios for one database group: operations of callers and
 * faults, each with its start time.
 */

/** Proxies, instances and sessions of a scenario. @public */
export const PROXY_COUNT = 3;
export const INSTANCE_NAMES = ['a', 'b', 'c'] as const;
export const SESSION_COUNT = 3;

/** Period in which operations and faults start, in milliseconds. @public */
export const ACTIVE_MS = 2500;

/** Maximum duration of a fault, in milliseconds. */
const MAX_FAULT_MS = 1800;

/** Kind of an operation of a caller. @public */
export type CallerOperation =
  | 'write'
  | 'keyedWrite'
  | 'repeatKey'
  | 'reuseKey'
  | 'sessionRead'
  | 'ageRead'
  | 'strictRead'
  | 'oldToken'
  | 'changePrimary';

/** One operation of a caller. @public */
export interface OperationStep {
  readonly kind: 'operation';
  readonly atMs: number;
  readonly operation: CallerOperation;
  readonly session: number;
  readonly proxy: number;
  /** Index that selects a key, a target or a maximum age. */
  readonly choice: number;
}

/** Kind of a fault. @public */
export type FaultKind =
  | 'isolateProxy'
  | 'isolateInstance'
  | 'isolateZone'
  | 'isolatePrimary'
  | 'isolateReplication'
  | 'splitAtPromotion'
  | 'oneWayPrimaryToProxy'
  | 'oneWayFromInstance'
  | 'oneWayToInstance'
  | 'oneWayBetweenInstances'
  | 'pauseProxy'
  | 'pauseInstance'
  | 'crashInstance'
  | 'crashPrimary'
  | 'killProxy'
  | 'tableOutage'
  | 'loseTableAnswer'
  | 'unreliable'
  | 'replicaLag';

/** A fault with its start time and duration. @public */
export interface FaultStep {
  readonly kind: 'fault';
  readonly atMs: number;
  readonly durationMs: number;
  readonly fault: FaultKind;
  /** Index of the affected proxy or instance; some faults ignore it. */
  readonly party: number;
}

/** A step of a scenario. @public */
export type ScenarioStep = OperationStep | FaultStep;

/**
 * Input of a history. `run_fuzz.ts` writes it to the file that `--replay`
 * reads, so its field names are part of that format.
 *
 * @public
 */
export interface GroupScenario {
  readonly seed: number;
  /** Monitor rank of each proxy; null if it doesn't monitor the group. */
  readonly watchRanks: readonly (number | null)[];
  /** Rate of each proxy's clock. */
  readonly clockRates: readonly number[];
  readonly steps: readonly ScenarioStep[];
}

const operationArbitrary: fc.Arbitrary<CallerOperation> = fc.oneof(
  {weight: 6, arbitrary: fc.constant<CallerOperation>('write')},
  {weight: 5, arbitrary: fc.constant<CallerOperation>('keyedWrite')},
  {weight: 3, arbitrary: fc.constant<CallerOperation>('repeatKey')},
  {weight: 1, arbitrary: fc.constant<CallerOperation>('reuseKey')},
  {weight: 4, arbitrary: fc.constant<CallerOperation>('sessionRead')},
  {weight: 3, arbitrary: fc.constant<CallerOperation>('ageRead')},
  {weight: 3, arbitrary: fc.constant<CallerOperation>('strictRead')},
  {weight: 1, arbitrary: fc.constant<CallerOperation>('oldToken')},
  {weight: 1, arbitrary: fc.constant<CallerOperation>('changePrimary')},
);

const faultArbitrary = fc.constantFrom<FaultKind>(
  'isolateProxy',
  'isolateInstance',
  'isolateZone',
  'isolatePrimary',
  'isolateReplication',
  'splitAtPromotion',
  'oneWayPrimaryToProxy',
  'oneWayFromInstance',
  'oneWayToInstance',
  'oneWayBetweenInstances',
  'pauseProxy',
  'pauseInstance',
  'crashInstance',
  'crashPrimary',
  'killProxy',
  'tableOutage',
  'loseTableAnswer',
  'unreliable',
  'replicaLag',
);

const operationStepArbitrary: fc.Arbitrary<OperationStep> = fc.record({
  kind: fc.constant('operation' as const),
  atMs: fc.integer({min: 0, max: ACTIVE_MS}),
  operation: operationArbitrary,
  session: fc.integer({min: 0, max: SESSION_COUNT - 1}),
  proxy: fc.integer({min: 0, max: PROXY_COUNT - 1}),
  choice: fc.nat({max: 20}),
});

const faultStepArbitrary: fc.Arbitrary<FaultStep> = fc.record({
  kind: fc.constant('fault' as const),
  atMs: fc.integer({min: 0, max: ACTIVE_MS}),
  durationMs: fc.integer({min: 50, max: MAX_FAULT_MS}),
  fault: faultArbitrary,
  party: fc.integer({min: 0, max: 2}),
});

/** Generates operations of the given kinds within a period. */
function createOperations(
  operations: readonly CallerOperation[],
  proxy: fc.Arbitrary<number>,
  span: {readonly fromMs: number; readonly toMs: number},
  count: {readonly minLength: number; readonly maxLength: number},
): fc.Arbitrary<readonly ScenarioStep[]> {
  const step = fc.record({
    kind: fc.constant('operation' as const),
    atMs: fc.integer({min: span.fromMs, max: span.toMs}),
    operation: fc.constantFrom(...operations),
    session: fc.integer({min: 0, max: SESSION_COUNT - 1}),
    proxy,
    choice: fc.nat({max: 20}),
  });
  return fc.array(step, {...count, size: 'max'});
}

const anyProxy = fc.integer({min: 0, max: PROXY_COUNT - 1});
const anySteps = fc.array(
  fc.oneof(
    {weight: 5, arbitrary: operationStepArbitrary},
    {weight: 1, arbitrary: faultStepArbitrary},
  ),
  {minLength: 5, maxLength: 40, size: 'max'},
);

/**
 * A primary and one proxy are isolated together; callers continue on both
 * sides of the partition.
 */
const splitSteps = fc
  .record({
    party: anyProxy,
    atMs: fc.integer({min: 0, max: 300}),
    durationMs: fc.integer({min: 900, max: MAX_FAULT_MS}),
  })
  .chain(({party, atMs, durationMs}) => {
    const span = {fromMs: atMs + 500, toMs: atMs + durationMs + 50};
    const fault: FaultStep = {
      kind: 'fault',
      atMs,
      durationMs,
      fault: 'isolatePrimary',
      party,
    };
    return fc
      .tuple(
        createOperations(
          ['write', 'keyedWrite', 'sessionRead'],
          anyProxy,
          span,
          {minLength: 4, maxLength: 12},
        ),
        createOperations(
          ['strictRead', 'ageRead', 'sessionRead'],
          fc.constant(party),
          span,
          {minLength: 4, maxLength: 10},
        ),
      )
      .map(([writes, reads]) => [fault, ...writes, ...reads]);
  });

/**
 * The new primary crashes around the time at which the replaced one, which has
 * a longer log, becomes reachable again.
 */
const rejoinSteps = fc
  .record({
    party: anyProxy,
    durationMs: fc.integer({min: 1100, max: MAX_FAULT_MS}),
    leadMs: fc.integer({min: -20, max: 250}),
  })
  .chain(({party, durationMs, leadMs}) => {
    const faults: readonly FaultStep[] = [
      {kind: 'fault', atMs: 0, durationMs, fault: 'isolatePrimary', party},
      {
        kind: 'fault',
        atMs: durationMs - leadMs,
        durationMs: 1500,
        fault: 'crashPrimary',
        party,
      },
    ];
    const early = {fromMs: 20, toMs: 300};
    const late = {fromMs: durationMs - 400, toMs: durationMs - 100};
    return fc
      .tuple(
        createOperations(['write'], fc.constant(party), early, {
          minLength: 5,
          maxLength: 12,
        }),
        createOperations(['write'], anyProxy, late, {
          minLength: 2,
          maxLength: 3,
        }),
      )
      .map(([lost, kept]) => [...faults, ...lost, ...kept]);
  });

/** Replicas lag while sessions use several proxies with old and new tokens. */
const lagSteps = fc
  .tuple(
    fc.constantFrom<FaultKind>('replicaLag', 'unreliable'),
    fc.integer({min: 0, max: 2}),
    createOperations(
      ['write', 'oldToken', 'sessionRead', 'sessionRead', 'ageRead'],
      anyProxy,
      {fromMs: 50, toMs: 900},
      {minLength: 10, maxLength: 30},
    ),
  )
  .map(([fault, party, operations]): readonly ScenarioStep[] => [
    {kind: 'fault', atMs: 0, durationMs: 1500, fault: 'replicaLag', party},
    {kind: 'fault', atMs: 0, durationMs: 1500, fault, party: (party + 1) % 3},
    ...operations,
  ]);

/** Responses of the primary reach one proxy late. */
const delayedResponseSteps = fc
  .record({
    party: anyProxy,
    atMs: fc.integer({min: 300, max: 500}),
    durationMs: fc.integer({min: 300, max: 1000}),
  })
  .chain(({party, atMs, durationMs}) => {
    const fault: FaultStep = {
      kind: 'fault',
      atMs,
      durationMs,
      fault: 'oneWayPrimaryToProxy',
      party,
    };
    const reads = createOperations(
      ['ageRead'],
      fc.constant(party),
      {fromMs: 0, toMs: atMs + durationMs + 600},
      {minLength: 8, maxLength: 20},
    );
    const writes = createOperations(
      ['write'],
      fc.constant((party + 1) % PROXY_COUNT),
      {fromMs: atMs, toMs: atMs + durationMs},
      {minLength: 3, maxLength: 10},
    );
    return fc
      .tuple(reads, writes)
      .map(([before, during]): readonly ScenarioStep[] => [
        fault,
        ...before,
        ...during,
      ]);
  });

/**
 * A primary crashes, and its successor is isolated together with a proxy as
 * it is promoted.
 */
const isolatedPromotionSteps = fc
  .record({
    party: anyProxy,
    atMs: fc.integer({min: 0, max: 100}),
    crashMs: fc.integer({min: 500, max: 900}),
    durationMs: fc.integer({min: 900, max: MAX_FAULT_MS}),
  })
  .chain(({party, atMs, crashMs, durationMs}) => {
    const faults: readonly FaultStep[] = [
      {kind: 'fault', atMs, durationMs, fault: 'splitAtPromotion', party},
      {
        kind: 'fault',
        atMs,
        durationMs: crashMs,
        fault: 'crashPrimary',
        party,
      },
    ];
    const span = {fromMs: atMs + 200, toMs: ACTIVE_MS};
    return createOperations(
      ['write', 'keyedWrite', 'strictRead'],
      anyProxy,
      span,
      {
        minLength: 12,
        maxLength: 30,
      },
    ).map((operations): readonly ScenarioStep[] => [...faults, ...operations]);
  });

/**
 * Generates scenarios: four in ten of arbitrary steps, the others around a
 * known risk.
 *
 * @public
 */
export const groupScenarioArbitrary: fc.Arbitrary<GroupScenario> = fc.record({
  seed: fc.nat({max: 2 ** 30}),
  watchRanks: fc.tuple(
    fc.constantFrom(0, 0, 1),
    fc.constantFrom(0, 1, null),
    fc.constantFrom(1, 2, null),
  ),
  clockRates: fc.tuple(
    fc.constantFrom(1, 0.97, 1.03),
    fc.constantFrom(1, 0.97, 1.03),
    fc.constantFrom(1, 0.97, 1.03),
  ),
  steps: fc.oneof(
    {weight: 4, arbitrary: anySteps},
    {weight: 2, arbitrary: splitSteps},
    {weight: 1, arbitrary: rejoinSteps},
    {weight: 1, arbitrary: lagSteps},
    {weight: 1, arbitrary: isolatedPromotionSteps},
    {weight: 1, arbitrary: delayedResponseSteps},
  ),
});
