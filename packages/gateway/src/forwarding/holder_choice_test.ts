import {describe, expect, it} from 'vitest';
import type {CallerStatement} from '../statement/caller_statement.js';
import {ForwardingTestHarness} from '../testing/forwarding_test_harness.js';
import {advanceClock} from '../testing/settle.js';

/** How long a follower looks for a holder, and when it returns to one. */

const READ: CallerStatement = {kind: 'read', text: 'READ a'};

/** Timeout of a connection attempt in the proxy. */
const CONNECT_TIMEOUT_MS = 250;

describe('OperationForwarder', () => {
  // Guards against a proxy that is cut off from its zone and waits for one
  // connection timeout for each proxy of the zone.
  it('uses own connections when the first connection attempts take long', async () => {
    const harness = ForwardingTestHarness.create(12);
    harness.connectTimeMs = CONNECT_TIMEOUT_MS;
    for (const holder of harness.holders) {
      holder.isReachable = false;
    }
    const {clock} = harness.sessions;
    const startedAtMs = clock.nowMs();
    const reply = await harness.run(harness.open('strict'), READ);
    expect(reply.result.kind).toBe('complete');
    expect(clock.nowMs() - startedAtMs).toBeLessThan(600);
  });

  // Guards against a holder that is avoided for the longest time because many
  // operations were under way when it declined them.
  it('soon returns to a holder that declined many operations at once', async () => {
    const harness = ForwardingTestHarness.create();
    const {clock} = harness.sessions;
    const [first] = harness.ranked;
    expect(first).toBeDefined();
    if (first === undefined) {
      return;
    }
    await harness.run(harness.open('strict'), READ);
    first.declineReason = 'notServing';
    const replies = [];
    for (let count = 0; count < 10; count++) {
      const receivedAtMs = clock.nowMs();
      const request = {requestId: `r${count}`, statement: READ, receivedAtMs};
      replies.push(harness.open('strict').handle(request));
    }
    await advanceClock(clock, 100);
    await Promise.all(replies);
    first.declineReason = null;
    await advanceClock(clock, 600);
    await harness.run(harness.open('strict'), READ);
    expect(harness.listForwarded().at(-1)).toBe(first.entryVm);
  });
});
