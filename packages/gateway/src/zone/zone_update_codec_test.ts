import {describe, expect, it} from 'vitest';
import type {IdentifiedDelta} from '../configuration/configuration_history.js';
import {digestApiKey} from '../customer/api_key_digest.js';
import {createDatabaseRoute} from '../testing/create_database_route.js';
import {CustomerDirectory} from '../customer/customer_directory.js';
import type {ZoneUpdate} from './zone_update.js';
import {
  decodeZoneUpdate,
  encodeZoneUpdate,
  zoneUpdateRequestSchema,
} from './zone_update_codec.js';

const UPDATE: ZoneUpdate = {
  control: {
    isListing: true,
    revision: 12,
    changes: [
      {kind: 'put', key: 'entryVm/e1', revision: 12, value: '{}'},
      {kind: 'removed', key: 'entryVm/e2', revision: 11},
    ],
    storeTimeMs: 1_000,
    readLeadMs: -25,
  },
  configurationDelta: null,
  configurationLeadMs: 40,
  directory: {
    isListing: false,
    revision: 13,
    changes: [
      {
        kind: 'put',
        key: 'p',
        revision: 13,
        value: {
          backendServer: 'p',
          databaseGroup: 'group',
          host: '127.0.0.1',
          port: 5_432,
          availabilityZone: 'zone-a',
          state: 'active',
          reportedRole: 'primary',
          slots: 3,
          warmUpRemainingMs: 0,
          startedAtEpochMs: null,
        },
      },
      {kind: 'unreadable', key: 'x', revision: 9, reason: 'no JSON'},
    ],
  },
  configuration: {
    isListing: false,
    revision: 14,
    changes: [
      {
        kind: 'put',
        key: 'config',
        revision: 14,
        value: {
          version: 3,
          routes: new Map([
            [
              'orders',
              {
                databaseName: 'orders',
                databaseGroup: 'group',
                consistency: 'age',
                maxAgeMs: 1_500,
                statementTimeoutMs: 1_000,
                targetLatencyMs: 200,
                priority: 'lookup',
                isPublic: true,
              },
            ],
          ]),
          databaseGroups: new Map([
            [
              'group',
              {
                databaseGroup: 'group',
                maxConnections: 20,
                synchronousReplicaCount: 1,
              },
            ],
          ]),
          customers: CustomerDirectory.create([
            {
              name: 'studio',
              keyDigests: [digestApiKey('key')],
              limit: {operationsPerSecond: 1.5, burstOperations: 3},
            },
            {name: 'unlimited', keyDigests: [], limit: null},
          ]),
          transactionIdleTimeoutMs: 3_000,
        },
      },
    ],
  },
  contact: {digest: 'digest', startLeadMs: 40},
};

const DELTA: IdentifiedDelta = {
  base: {revision: 9, version: 2},
  revision: 14,
  delta: {
    version: 3,
    routes: {put: [['orders', createDatabaseRoute('orders')]], removed: ['x']},
    databaseGroups: {put: [], removed: []},
    customers: {kind: 'unchanged'},
    transactionIdleTimeoutMs: 3_000,
  },
};

const REQUEST = {
  entryVm: 'e2',
  incarnation: 'one',
  controlRevision: null,
  directoryRevision: 1,
  configurationRevision: 1,
  isUrgent: false,
  waitMs: 0,
};

describe('the encoding of zone updates', () => {
  it.each(['short', 'long'])('decodes a %s delta', length => {
    const removed = Array.from(
      {length: length === 'long' ? 1_000 : 1},
      (_, index) => `database-${index}`,
    );
    const delta = {...DELTA.delta, routes: {put: [], removed}};
    const update = {...UPDATE, configurationDelta: {...DELTA, delta}};
    const text = JSON.stringify(encodeZoneUpdate(update));
    expect(decodeZoneUpdate(JSON.parse(text))).toEqual(update);
  });

  it.each(['{', 'null', '{"version":1}'])('rejects the delta %s', delta => {
    const encoded = encodeZoneUpdate({...UPDATE, configurationDelta: DELTA});
    const {configurationDelta, ...rest} = encoded as {
      configurationDelta: object;
    };
    const changed = {...configurationDelta, delta};
    expect(decodeZoneUpdate({...rest, configurationDelta: changed})).toBeNull();
    const compressed = {...changed, encoding: 'deflate'};
    expect(
      decodeZoneUpdate({...rest, configurationDelta: compressed}),
    ).toBeNull();
  });

  // The build before neither asks for deltas nor tells how old its reading is.
  it('decodes the updates and requests of the build before', () => {
    const {configurationDelta, configurationLeadMs, ...old} = encodeZoneUpdate(
      UPDATE,
    ) as Record<string, unknown>;
    expect([configurationDelta, configurationLeadMs]).toEqual([null, 40]);
    expect(decodeZoneUpdate(JSON.parse(JSON.stringify(old)))).toEqual({
      ...UPDATE,
      configurationLeadMs: null,
    });
    expect(
      zoneUpdateRequestSchema.parse(REQUEST).knownConfiguration,
    ).toBeUndefined();
  });

  it('decodes what it has encoded, including maps', () => {
    const text = JSON.stringify(encodeZoneUpdate(UPDATE));
    expect(decodeZoneUpdate(JSON.parse(text))).toEqual(UPDATE);
  });

  it('rejects an update with an invalid part', () => {
    for (const part of ['control', 'directory', 'configuration', 'contact']) {
      const changed = {...(encodeZoneUpdate(UPDATE) as object), [part]: 5};
      expect(decodeZoneUpdate(changed)).toBeNull();
    }
    expect(decodeZoneUpdate(null)).toBeNull();
  });

  it('rejects a request without an entry VM or with a negative wait', () => {
    expect(zoneUpdateRequestSchema.safeParse(REQUEST).success).toBe(true);
    for (const invalid of [{entryVm: ''}, {waitMs: -1}]) {
      const changed = {...REQUEST, ...invalid};
      expect(zoneUpdateRequestSchema.safeParse(changed).success).toBe(false);
    }
  });
});
