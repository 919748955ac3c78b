import {describe, expect, it} from 'vitest';
import {diffRules, describeDifference} from './diff_rules.js';
import {parseSheet} from './parse_sheet.js';
import {describeSheetError} from './sheet_error.js';

const HEADER = 'application,database_group,table,consistency,max_age,priority';
const GROUPS = ['outings-db-1', 'outings-db-2'];

function parse(...rows: readonly string[]) {
  return parseSheet([HEADER, ...rows].join('\n'), GROUPS);
}

function getErrors(...rows: readonly string[]): readonly string[] {
  const result = parse(...rows);
  return result.ok ? [] : result.error.map(describeSheetError);
}

describe('parseSheet', () => {
  it('parses each kind of rule', () => {
    expect(
      parse(
        'site,outings-db-1,timetable,age,5s,lookup',
        'site,outings-db-1,roster,age,500ms,lookup',
        'guides,outings-db-1,manifest,session,,normal',
        '*,outings-db-2,*,strict,,booking',
      ),
    ).toMatchObject({
      ok: true,
      value: [
        {table: 'timetable', consistency: 'age', maxAgeMs: 5000},
        {maxAgeMs: 500},
        {consistency: 'session', maxAgeMs: null},
        {application: '*', priority: 'booking'},
      ],
    });
  });

  it('accepts a byte order mark, quotes, blank lines and another column order', () => {
    const text =
      '\uFEFFpriority,max_age,consistency,table,database_group,application\r\n\r\n"lookup",2m,age,timetable,outings-db-1,"public site, old"\r\n';
    expect(parseSheet(text, GROUPS)).toMatchObject({
      ok: true,
      value: [{application: 'public site, old', maxAgeMs: 120_000}],
    });
  });

  it.each([
    ['site,no-such-db,timetable,age,5s,lookup', 'database_group', 'no-such-db'],
    ['site,outings-db-1,timetable,eventual,,lookup', 'consistency', 'eventual'],
    ['site,outings-db-1,timetable,age,,lookup', 'max_age', ''],
    ['site,outings-db-1,timetable,age,5,lookup', 'max_age', '5'],
    ['site,outings-db-1,timetable,age,-5s,lookup', 'max_age', '-5s'],
    ['site,outings-db-1,timetable,age,0s,lookup', 'max_age', '0s'],
    ['site,outings-db-1,timetable,age,1.5s,lookup', 'max_age', '1.5s'],
    ['site,outings-db-1,timetable,age,25h,lookup', 'max_age', '25h'],
    ['site,outings-db-1,timetable,strict,5s,lookup', 'max_age', '5s'],
    ['site,outings-db-1,timetable,age,5s,urgent', 'priority', 'urgent'],
    ['site,outings-db-1,timetable,age,5s,', 'priority', ''],
    [',outings-db-1,timetable,age,5s,lookup', 'application', ''],
    ['site,outings-db-1,,age,5s,lookup', 'table', ''],
    [`${'x'.repeat(65)},outings-db-1,t,strict,,lookup`, 'application', 'xxx'],
  ])('rejects %s and reports row, column and value', (row, column, value) => {
    const good = 'good,outings-db-1,t,strict,,normal';
    const errors = getErrors(good, row);
    expect(errors).toHaveLength(1);
    expect(errors[0]).toContain(`row 3, column ${column}: "${value}`);
    expect(errors[0]).toContain('allowed: ');
  });

  it('reports each invalid cell of each row', () => {
    const errors = getErrors(
      'site,no-such-db,t,eventual,,lookup',
      'site,outings-db-1,t,age,soon,urgent',
    );
    expect(errors).toHaveLength(4);
  });

  it('reports both rows of duplicate and of contradictory rules', () => {
    const errors = getErrors(
      'site,outings-db-1,t,strict,,lookup',
      'site,outings-db-1,t,strict,,lookup',
      'site,outings-db-1,t,session,,lookup',
    );
    expect(errors).toEqual([
      'row 3: repeats the rule of row 2 (site, outings-db-1, t)',
      'row 4: contradicts row 2, which has a rule for the same reads (site, outings-db-1, t)',
    ]);
  });

  it.each([
    ['', 'no rule'],
    [HEADER, 'no rule'],
    ['application,table', 'database_group" is missing'],
    [`${HEADER},extra\na,b,c,d,e,f,g`, '"extra" is unknown'],
    [`${HEADER}\na,b,c`, 'row 2: 3 cells instead of 6'],
    [`${HEADER}\n"open,outings-db-1`, 'not valid CSV'],
  ])('rejects the file %j', (text, problem) => {
    const result = parseSheet(text, GROUPS);
    const errors = result.ok ? [] : result.error.map(describeSheetError);
    expect(errors.join('\n')).toContain(problem);
  });
});

describe('diffRules', () => {
  it('lists added, removed and changed rules', () => {
    const before = parse(
      'a,outings-db-1,t,strict,,normal',
      'b,outings-db-1,t,strict,,normal',
      'c,outings-db-1,t,strict,,normal',
    );
    const after = parse(
      'a,outings-db-1,t,strict,,normal',
      'b,outings-db-1,t,age,5s,normal',
      'd,outings-db-1,t,strict,,normal',
    );
    const differences =
      before.ok && after.ok ? diffRules(before.value, after.value) : [];
    expect(differences.map(describeDifference)).toEqual([
      '~ b, outings-db-1, t: strict, normal -> b, outings-db-1, t: age up to 5000 ms, normal',
      '+ d, outings-db-1, t: strict, normal',
      '- c, outings-db-1, t: strict, normal',
    ]);
  });
});
