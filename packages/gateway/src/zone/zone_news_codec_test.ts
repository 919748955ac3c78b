import {describe, expect, it} from 'vitest';
import type {ZoneNews} from './zone_news.js';
import {
  decodeZoneNews,
  encodeZoneNews,
  zoneQuestionSchema,
} from './zone_news_codec.js';

const NEWS: ZoneNews = {
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
          transactionIdleTimeoutMs: 3_000,
        },
      },
    ],
  },
  contact: {digest: 'digest', startLeadMs: 40},
};

describe('the form in which news of a zone travel', () => {
  it('keeps all of them, maps included', () => {
    const text = JSON.stringify(encodeZoneNews(NEWS));
    expect(decodeZoneNews(JSON.parse(text))).toEqual(NEWS);
  });

  it('refuses news with a part missing or of another shape', () => {
    for (const part of ['control', 'directory', 'configuration', 'contact']) {
      const changed = {...(encodeZoneNews(NEWS) as object), [part]: 5};
      expect(decodeZoneNews(changed)).toBeNull();
    }
    expect(decodeZoneNews(null)).toBeNull();
  });

  it('refuses a question without a name or with a negative wait', () => {
    const question = {
      entryVm: 'e2',
      incarnation: 'one',
      controlRevision: null,
      directoryRevision: 1,
      configurationRevision: 1,
      isUrgent: false,
      waitMs: 0,
    };
    expect(zoneQuestionSchema.safeParse(question).success).toBe(true);
    for (const wrong of [{entryVm: ''}, {waitMs: -1}]) {
      const changed = {...question, ...wrong};
      expect(zoneQuestionSchema.safeParse(changed).success).toBe(false);
    }
  });
});
