import {beforeEach, describe, expect, it} from 'vitest';
import {SessionWorld} from '../testing/session_world.js';

const FAILED = {kind: 'reject', rejection: 'executionFailed'} as const;

const READ = {kind: 'read', text: 'READ 1'} as const;

describe('reads at instances that fail statements', () => {
  let world: SessionWorld;

  beforeEach(() => {
    world = SessionWorld.create();
    world.grantLease();
    world.group.recordProof(world.clock.nowMs(), {term: 1, position: 0});
  });

  /** Server at which the last statement was run. */
  function getLastServer(): string | undefined {
    return world.backend.runs.at(-1)?.backendServer;
  }

  it('reads elsewhere what failed at a replica', async () => {
    world.backend.plan('r1', FAILED);
    world.backend.plan('r2', FAILED);
    const reply = await world.run(world.open('age'), READ);
    expect(reply.result.kind).toBe('complete');
  });

  it('relays a failure that every server gives', async () => {
    for (const server of ['p', 'r1', 'r2']) {
      world.backend.plan(server, FAILED);
    }
    const reply = await world.run(world.open('age'), READ);
    expect(reply.result).toMatchObject({
      kind: 'rejected',
      rejection: 'executionFailed',
    });
  });

  it('relays a failure of a strict read, which has no other server', async () => {
    world.backend.plan('p', FAILED);
    const reply = await world.run(world.open('strict'), READ);
    expect(reply.result).toMatchObject({rejection: 'executionFailed'});
  });

  it('leaves a failing instance out while the others answer, and tries it again later', async () => {
    const session = world.open('age');
    await world.run(session, READ);
    const first = getLastServer() ?? '';
    world.backend.plan(first, FAILED, FAILED, FAILED, FAILED);
    for (let count = 0; count < 20; count++) {
      await world.run(session, READ);
    }
    // Of twenty reads only the first few find out; none of the later ones tries.
    const left = world.backend.fates.get(first)?.length ?? 0;
    expect(left).toBeGreaterThan(0);
    const servers = new Set(
      world.backend.runs.slice(-10).map(({backendServer}) => backendServer),
    );
    expect(servers.has(first)).toBe(false);
  });
});
