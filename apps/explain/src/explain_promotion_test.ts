import {readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  parseLogLine,
  type LogRecord,
} from '@filbertrun/observability/log_record.js';
import {describe, expect, it} from 'vitest';
import {explainPromotions} from './explain_promotion.js';
import {formatPromotion} from './format_promotion.js';

const GOLDEN = path.join(
  path.dirname(fileURLToPath(import.meta.url)),
  '../golden',
);

function readGolden(name: string): string {
  return readFileSync(path.join(GOLDEN, name), 'utf8');
}

function readSample(): readonly LogRecord[] {
  const records: LogRecord[] = [];
  for (const line of readGolden('promotions.jsonl').split('\n')) {
    const record = parseLogLine(line);
    if (record !== null) {
      records.push(record);
    }
  }
  return records;
}

function explainLost(records: readonly LogRecord[]) {
  const [history] = explainPromotions(records, 'g1');
  if (history === undefined) {
    throw new Error('The sample holds no change.');
  }
  return history;
}

describe('explainPromotions', () => {
  // Guards against a summary that leaves out what tells the causes of a lost
  // commit apart; docs/OPERATIONS.md refers to these lines.
  it('formats the changes of a group like the golden text', () => {
    const text = explainPromotions(readSample(), 'g1')
      .map(formatPromotion)
      .join('\n');
    expect(text).toBe(readGolden('promotions.golden'));
  });

  it('finds the acknowledged writes of the group that the target lacks', () => {
    const {lackingWrites, oldWriteCount} = explainLost(readSample());
    expect(lackingWrites.map(({requestId}) => requestId)).toEqual(['w2', 'w4']);
    expect(oldWriteCount).toBe(3);
  });

  it('finds an instance of the group that the choice did not know', () => {
    const {missingInstances} = explainLost(readSample());
    expect(missingInstances?.map(({backendServer}) => backendServer)).toEqual([
      'i-c',
    ]);
  });

  it('does not miss an instance that was removed long before', () => {
    const records: LogRecord[] = [
      ...readSample(),
      {
        timeMs: Date.parse('2026-02-05T03:40:00.000Z'),
        entryVm: 'entry-3',
        event: 'backendServerGone',
        fields: {databaseGroup: 'g1', backendServer: 'i-old', reason: 'test'},
      },
    ];
    expect(explainLost(records).missingInstances).toHaveLength(1);
  });

  // Guards against a log of an earlier build, or one whose line of the choice was
  // dropped, that is read as a promotion without a fault.
  it('uses the position of the order where the choice is not logged', () => {
    const records = readSample().filter(
      ({event}) => event !== 'promotionTargetChosen',
    );
    const history = explainLost(records);
    expect(history.chosenEnd).toEqual({term: 1, position: 230});
    expect(history.lackingWrites).toHaveLength(2);
    expect(history.missingInstances).toBeNull();
  });

  it('reports a release with a position that the target lacks', () => {
    const records = readSample().map(record =>
      record.event === 'leaseReleased' && record.entryVm === 'entry-1'
        ? {
            ...record,
            fields: {
              ...record.fields,
              highestAcknowledged: {term: 1, position: 235},
            },
          }
        : record,
    );
    expect(explainLost(records).lackingReleases).toEqual([
      {entryVm: 'entry-1', position: {term: 1, position: 235}},
    ]);
  });

  it('shows a step whose fields are malformed as it is', () => {
    const records = readSample().map(record =>
      record.event === 'promotionTargetChosen'
        ? {...record, fields: {...record.fields, instances: 'x'}}
        : record,
    );
    expect(formatPromotion(explainLost(records))).toContain('instances=x');
  });

  it('returns nothing for a group without a change', () => {
    expect(explainPromotions(readSample(), 'g2')).toEqual([]);
  });
});
