import {describe, expect, it} from 'vitest';
import {parseStartupOptions} from './startup_options.js';

describe('parseStartupOptions', () => {
  it.each([
    [
      '-c a=1 -c b=2',
      [
        ['a', '1'],
        ['b', '2'],
      ],
    ],
    ['-ca=1', [['a', '1']]],
    ['--a=1=2', [['a', '1=2']]],
    ['-c a=with\\ space', [['a', 'with space']]],
    ['  ', []],
  ])('parses %j', (options, expected) => {
    expect(parseStartupOptions(options)).toEqual({ok: true, value: expected});
  });

  it.each(['-c', '-c a', '-x', '--=1'])('rejects %j', options => {
    expect(parseStartupOptions(options).ok).toBe(false);
  });
});
