import {describe, expect, it} from 'vitest';
import type {CallerStatement} from '../statement/caller_statement.js';
import {ForwardingTestHarness} from '../testing/forwarding_test_harness.js';

const READ: CallerStatement = {kind: 'read', text: 'READ a'};
const WRITE: CallerStatement = {kind: 'write', text: 'WRITE a x'};
const BEGIN: CallerStatement = {kind: 'begin', isReadOnly: false};
const COMMIT: CallerStatement = {kind: 'commit'};

describe('ForwardStreams', () => {
  // Guards against transactions and writes that are lost when the store is
  // restored from a backup without the registrations of running proxies.
  it('goes on with a transaction at a holder whose registration is missing', async () => {
    const harness = ForwardingTestHarness.create();
    const session = harness.open('strict');
    await harness.run(session, BEGIN);
    await harness.run(session, WRITE, 'w');
    harness.follower.updateHolders([]);
    const reply = await harness.run(session, COMMIT);
    expect(reply.result.kind).toBe('complete');
    expect(harness.sessions.backend.committedWrites).toEqual(['w']);
    const forwarded = harness.listForwarded().length;
    await harness.run(session, READ);
    expect(harness.listForwarded()).toHaveLength(forwarded);
  });
});
