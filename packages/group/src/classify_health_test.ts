import {failure} from '@filbertrun/base/result.js';
import {describe, expect, it} from 'vitest';
import {classifyHealth} from './classify_health.js';

describe('classifyHealth', () => {
  it('counts an instance that responds with an error as alive', () => {
    const error = {
      kind: 'failed',
      sqlState: '53300',
      reason: 'too many connections',
    } as const;
    expect(classifyHealth(failure(error))).toBe('healthy');
  });

  it('tells a refused connection from no response', () => {
    const refused = {kind: 'unreachable', reason: 'refused'} as const;
    expect(classifyHealth(failure(refused))).toBe('refused');
    expect(classifyHealth(failure({kind: 'timedOut'}))).toBe('silent');
  });
});
