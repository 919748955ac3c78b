import {describe, expect, it} from 'vitest';
import type {BackendRejection} from '../statement/statement_answer.js';
import {getResponseOutcome, getRunErrorOutcome} from './lease_outcome.js';

function getRejectionOutcome(rejection: BackendRejection) {
  return getResponseOutcome({kind: 'rejected', rejection, code: '', text: ''});
}

describe('getResponseOutcome', () => {
  it('tells overload and failures from successes', () => {
    expect(getResponseOutcome({kind: 'complete', signature: ''})).toBe(
      'served',
    );
    expect(getRejectionOutcome('overloaded')).toBe('rejected');
    expect(getRejectionOutcome('tooManyConnections')).toBe('rejected');
    expect(getRejectionOutcome('executionFailed')).toBe('failed');
    expect(getRejectionOutcome('executionTimedOut')).toBe('timedOut');
  });

  it.each([
    'positionNotReached',
    'notPrimary',
    'invalidStatement',
    'transactionAborted',
  ] as const)('does not blame the capacity of the server for %s', rejection => {
    expect(getRejectionOutcome(rejection)).toBe('unused');
  });
});

describe('getRunErrorOutcome', () => {
  it('blames the server only if the statement was sent', () => {
    expect(getRunErrorOutcome({kind: 'timedOut'})).toBe('timedOut');
    expect(getRunErrorOutcome({kind: 'connectionLost', reason: ''})).toBe(
      'failed',
    );
    expect(getRunErrorOutcome({kind: 'notSent', reason: ''})).toBe('unused');
    expect(getRunErrorOutcome({kind: 'sendDeclined'})).toBe('unused');
  });
});
