import {beforeEach, describe, expect, it} from 'vitest';
import {SessionTestHarness} from '../testing/session_test_harness.js';

const FAILED = {kind: 'reject', rejection: 'executionFailed'} as const;

const READ = {kind: 'read', text: 'READ 1'} as const;

describe('reads on instances where statements fail', () => {
  let harness: SessionTestHarness;

  beforeEach(() => {
    harness = SessionTestHarness.create();
    harness.grantLease();
    harness.group.recordFreshnessBound(harness.clock.nowMs(), {
      term: 1,
      position: 0,
    });
  });

  /** Server on which the last statement was run. */
  function getLastServer(): string | undefined {
    return harness.backend.runs.at(-1)?.backendServer;
  }

  it('retries a read that failed on a replica on another server', async () => {
    harness.backend.plan('r1', FAILED);
    harness.backend.plan('r2', FAILED);
    const reply = await harness.run(harness.open('age'), READ);
    expect(reply.result.kind).toBe('complete');
  });

  it('returns the failure when every server fails the read', async () => {
    for (const server of ['p', 'r1', 'r2']) {
      harness.backend.plan(server, FAILED);
    }
    const reply = await harness.run(harness.open('age'), READ);
    expect(reply.result).toMatchObject({
      kind: 'rejected',
      rejection: 'executionFailed',
    });
  });

  it('returns the failure of a strict read, which only the primary can answer', async () => {
    harness.backend.plan('p', FAILED);
    const reply = await harness.run(harness.open('strict'), READ);
    expect(reply.result).toMatchObject({rejection: 'executionFailed'});
  });

  it('avoids a failing instance while other instances answer', async () => {
    const session = harness.open('age');
    await harness.run(session, READ);
    const first = getLastServer() ?? '';
    harness.backend.plan(first, FAILED, FAILED, FAILED, FAILED);
    for (let count = 0; count < 20; count++) {
      await harness.run(session, READ);
    }
    // Only the first few of the 20 reads reach the failing instance, so some of
    // its planned failures remain.
    const remainingFailures = harness.backend.behaviors.get(first)?.length ?? 0;
    expect(remainingFailures).toBeGreaterThan(0);
    const servers = new Set(
      harness.backend.runs.slice(-10).map(({backendServer}) => backendServer),
    );
    expect(servers.has(first)).toBe(false);
  });
});
