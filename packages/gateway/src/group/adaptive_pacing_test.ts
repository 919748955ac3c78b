import {beforeEach, describe, expect, it} from 'vitest';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {StatementBehavior} from '../testing/fake_backend.js';
import {createEntry} from '../testing/fake_instances.js';
import {SessionTestHarness} from '../testing/session_test_harness.js';

const READ = {kind: 'read', text: 'READ 1'} as const;
const WRITE = {kind: 'write', text: 'WRITE 1'} as const;

describe('adaptive pacing of a group', () => {
  let harness: SessionTestHarness;

  beforeEach(() => {
    harness = SessionTestHarness.create();
    harness.grantLease();
    for (const server of harness.group.getServers()) {
      server.pool.setLimits({pacing: 'adaptive'});
    }
  });

  function getLimit(backendServer: BackendServerId): number | undefined {
    const server = harness.group.getServer(backendServer);
    return server?.pool.getStatus().concurrencyLimit;
  }

  it('starts low at an instance that has restarted, and only there', () => {
    const before = getLimit('r2');
    harness.group.updateServer({
      ...createEntry('r1', 'replica'),
      startedAtEpochMs: 77,
    });
    expect(getLimit('r1')).toBe(1);
    expect(getLimit('r2')).toBe(before);
    expect(before).toBeGreaterThan(1);
  });

  it('keeps the limit when an entry changes without a restart', () => {
    const before = getLimit('r1');
    harness.group.updateServer({
      ...createEntry('r1', 'replica'),
      state: 'draining',
    });
    expect(getLimit('r1')).toBe(before);
  });

  it('starts low when unreachability ends', async () => {
    const server = harness.group.getServer('r1');
    harness.backend.unreachable.add('r1');
    await server?.probe();
    expect(server?.isUnreachable).toBe(true);
    harness.backend.unreachable.delete('r1');
    await server?.probe();
    expect(server?.isUnreachable).toBe(false);
    expect(getLimit('r1')).toBe(1);
  });

  it('keeps the limit when a reachable server answers a probe', async () => {
    const before = getLimit('r1');
    await harness.group.getServer('r1')?.probe();
    expect(getLimit('r1')).toBe(before);
  });

  it('starts low at an instance that becomes the primary', () => {
    const before = getLimit('p');
    harness.grantLease('r1', 2);
    expect(getLimit('r1')).toBe(1);
    expect(getLimit('p')).toBe(before);
  });

  it('keeps the limit when the record of the same primary is renewed', () => {
    const before = getLimit('p');
    harness.grantLease('p', 1, 2);
    expect(getLimit('p')).toBe(before);
  });

  it.each([
    [{kind: 'reject', rejection: 'overloaded'}],
    [{kind: 'reject', rejection: 'tooManyConnections'}],
    [{kind: 'silence'}],
    [{kind: 'runAndLose'}],
  ] as const satisfies readonly (readonly [StatementBehavior])[])(
    'reduces the limit for a read and a write with %j',
    async behavior => {
      const before = getLimit('p') ?? 0;
      for (const statement of [READ, WRITE]) {
        harness.group.getServers().forEach(server => {
          server.pool.setLimits({pacing: 'fixedStart'});
          server.pool.setLimits({pacing: 'adaptive'});
        });
        harness.backend.plan('p', behavior);
        await harness.run(harness.open('strict'), statement);
        expect(getLimit('p')).toBeLessThan(before);
      }
    },
  );

  it('keeps the limit for a rejection that depends on the statement', async () => {
    const before = getLimit('p');
    for (const rejection of ['invalidStatement', 'notPrimary'] as const) {
      harness.backend.plan('p', {kind: 'reject', rejection});
      await harness.run(harness.open('strict'), WRITE);
    }
    expect(getLimit('p')).toBe(before);
  });

  it('reduces the limit for a failure within a transaction', async () => {
    const before = getLimit('p') ?? 0;
    const session = harness.open('strict');
    await harness.run(session, {kind: 'begin', isReadOnly: false});
    harness.backend.plan('p', {kind: 'reject', rejection: 'executionFailed'});
    await harness.run(session, READ);
    await harness.run(session, {kind: 'rollback'});
    expect(getLimit('p')).toBeLessThan(before);
  });
});
