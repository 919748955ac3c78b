import {beforeEach, describe, expect, it} from 'vitest';
import {SessionTestHarness} from '../testing/session_test_harness.js';

const READ = {kind: 'read', text: 'READ 1'} as const;

describe('ReadExecutor with shared access', () => {
  let harness: SessionTestHarness;

  beforeEach(() => {
    harness = SessionTestHarness.create();
    harness.grantLease();
    harness.group.setSharedAccess(true);
    // The share of a proxy that can use no holder.
    harness.group.setMaxConnections(1);
    for (const server of harness.group.getServers()) {
      server.recordPosition({term: 1, position: 0});
    }
    harness.group.recordFreshnessBound(harness.clock.nowMs(), {
      term: 1,
      position: 0,
    });
  });

  // Guards against reads that the primary refuses for the sake of its reserved
  // slot although no other server can run them.
  it('reads from the primary with one connection when all replicas are lost', async () => {
    harness.backend.unreachable.add('r1');
    harness.backend.unreachable.add('r2');
    const reply = await harness.run(harness.open('age'), READ);
    expect(reply.result.kind).toBe('complete');
    expect(harness.backend.runs.at(-1)?.backendServer).toBe('p');
  });
});
