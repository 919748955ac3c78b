import {failure, success} from '@filbertrun/base/result.js';
import {beforeEach, describe, expect, it} from 'vitest';
import type {OperationPermit} from '../quota/operation_permit.js';
import {CallerSession} from '../session/caller_session.js';
import type {StatementReply} from '../statement/statement_answer.js';
import {SessionTestHarness} from '../testing/session_test_harness.js';
import {digestApiKey} from './api_key_digest.js';
import type {Customer} from './customer.js';
import {CustomerDirectory} from './customer_directory.js';

/** Sessions of customers whose keys change while they are open. */

const READ = {kind: 'read', text: 'READ 1'} as const;
const WRITE = {kind: 'write', text: 'WRITE 1 x'} as const;
const BEGIN = {kind: 'begin', isReadOnly: false} as const;
const COMMIT = {kind: 'commit'} as const;
const ROLLBACK = {kind: 'rollback'} as const;

function createCustomer(name: string, ...keys: string[]): Customer {
  return {name, keyDigests: keys.map(digestApiKey), limit: null};
}

function getErrorKind({result}: StatementReply): string {
  return result.kind === 'error' ? result.error.kind : result.kind;
}

describe('sessions of customers', () => {
  let harness: SessionTestHarness;

  beforeEach(() => {
    harness = SessionTestHarness.create();
    harness.grantLease();
    setCustomers(
      createCustomer('studio', 'k1'),
      createCustomer('agency', 'k2'),
    );
  });

  function setCustomers(...customers: readonly Customer[]): void {
    harness.customers = CustomerDirectory.create(customers);
  }

  it('opens no session for an unknown key', () => {
    const opened = CallerSession.open(harness, {
      databaseName: 'strict',
      apiKey: 'unknown',
    });
    expect(opened).toEqual(failure({kind: 'accessDenied'}));
  });

  // A key that was added since the configuration was read was denied.
  it('does not deny a key while the configuration may be out of date', () => {
    harness.hasCurrentConfiguration = false;
    const opened = CallerSession.open(harness, {
      databaseName: 'strict',
      apiKey: 'added',
    });
    expect(opened).toEqual(failure({kind: 'unavailable', retryAfterMs: 200}));
  });

  it('runs statements only on connections of their customer', async () => {
    const sessions = [
      harness.open('strict', 'k1'),
      harness.open('strict', 'k2'),
      harness.open('strict', 'k1'),
    ];
    for (const session of sessions) {
      expect(getErrorKind(await harness.run(session, READ))).toBe('complete');
    }
    const identities = harness.backend.runs.map(({identity}) => identity);
    expect(identities).toEqual(['studio', 'agency', 'studio']);
  });

  it('denies a session whose key was withdrawn', async () => {
    const session = harness.open('strict', 'k1');
    await harness.run(session, READ);
    setCustomers(createCustomer('studio'));
    const reply = await harness.run(session, WRITE);
    expect(getErrorKind(reply)).toBe('accessDenied');
    expect(harness.backend.committedWrites).toEqual([]);
  });

  it('rolls back a transaction whose key was withdrawn', async () => {
    const session = harness.open('strict', 'k1');
    await harness.run(session, BEGIN);
    await harness.run(session, WRITE);
    setCustomers(createCustomer('studio'));
    const reply = await harness.run(session, COMMIT);
    expect(getErrorKind(reply)).toBe('accessDenied');
    expect(reply.transactionState).toBe('idle');
    expect(harness.backend.committedWrites).toEqual([]);
  });

  it('denies statements of such a transaction until it ends', async () => {
    const session = harness.open('strict', 'k1');
    await harness.run(session, BEGIN);
    setCustomers();
    const denied = await harness.run(session, READ);
    expect(getErrorKind(denied)).toBe('accessDenied');
    expect(denied.transactionState).toBe('failed');
    const ended = await harness.run(session, ROLLBACK);
    expect(ended.transactionState).toBe('idle');
  });

  it('runs statements for the customer that a key was moved to', async () => {
    const session = harness.open('strict', 'k1');
    await harness.run(session, READ);
    setCustomers(createCustomer('studio'), createCustomer('agency', 'k1'));
    await harness.run(session, READ);
    const identities = harness.backend.runs.map(({identity}) => identity);
    expect(identities).toEqual(['studio', 'agency']);
  });

  it('ends a transaction whose key was moved to another customer', async () => {
    const session = harness.open('strict', 'k1');
    await harness.run(session, BEGIN);
    await harness.run(session, WRITE);
    setCustomers(createCustomer('studio'), createCustomer('agency', 'k1'));
    const reply = await harness.run(session, COMMIT);
    expect(getErrorKind(reply)).toBe('transactionLost');
    expect(harness.backend.committedWrites).toEqual([]);
  });

  it('writes no key to the log', async () => {
    const session = harness.open('strict', 'k1');
    await harness.run(session, READ);
    setCustomers();
    await harness.run(session, READ);
    const logged = JSON.stringify(harness.events.events);
    expect(logged).not.toContain('"k1"');
    expect(logged).not.toContain(digestApiKey('k1'));
  });

  it('refuses an operation beyond the limit before it takes a connection', async () => {
    harness.limiter = {
      admit: () =>
        Promise.resolve(failure({kind: 'exhausted', retryAfterMs: 70})),
    };
    const session = harness.open('strict', 'k1');
    const reply = await harness.run(session, WRITE);
    expect(reply.result).toEqual({
      kind: 'error',
      error: {kind: 'limitExceeded', retryAfterMs: 70},
    });
    expect(harness.backend.openConnections.size).toBe(0);
  });

  it('uses one permit for a transaction and none for a refused operation', async () => {
    const permits: string[] = [];
    const permit: OperationPermit = {
      markSent: () => permits.push('sent'),
      end: () => permits.push('end'),
    };
    harness.limiter = {admit: () => Promise.resolve(success(permit))};
    const session = harness.open('strict', 'k1');
    await harness.run(session, BEGIN);
    await harness.run(session, READ);
    await harness.run(session, COMMIT);
    expect(permits.filter(event => event === 'end')).toHaveLength(1);
    permits.length = 0;
    harness.backend.unreachable.add('p');
    for (const connection of [...harness.backend.openConnections]) {
      connection.close();
    }
    await harness.run(session, WRITE);
    expect(permits).toEqual(['end']);
  });
});
