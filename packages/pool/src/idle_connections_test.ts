import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {IdleConnections} from './idle_connections.js';
import {DEFAULT_POOL_LIMITS} from './pool_types.js';

describe('IdleConnections.hasIdleConnection', () => {
  let broken: Set<string>;
  let idle: IdleConnections<string>;

  beforeEach(() => {
    broken = new Set();
    const connector = {
      connect: () => Promise.reject(new Error('connect must not be called')),
      close: () => {},
      isUsable: (connection: string) => !broken.has(connection),
    };
    idle = IdleConnections.create(
      connector,
      VirtualClock.create(),
      DEFAULT_POOL_LIMITS,
    );
  });

  it('counts only connections of the identity', () => {
    idle.add('c1', 'customer-a');
    expect(idle.hasIdleConnection('customer-a')).toBe(true);
    expect(idle.hasIdleConnection('customer-b')).toBe(false);
  });

  it('does not count a connection that is leased', () => {
    idle.add('c1', 'customer-a');
    idle.take('customer-a');
    expect(idle.hasIdleConnection('customer-a')).toBe(false);
  });

  // Guards against reads sent to a server for a connection that it has closed.
  it('does not count a connection that can no longer be used', () => {
    idle.add('c1', 'customer-a');
    broken.add('c1');
    expect(idle.hasIdleConnection('customer-a')).toBe(false);
    idle.add('c2', 'customer-a');
    expect(idle.hasIdleConnection('customer-a')).toBe(true);
  });

  it('leaves the connection where it is', () => {
    idle.add('c1', 'customer-a');
    idle.hasIdleConnection('customer-a');
    expect(idle.take('customer-a')).toBe('c1');
  });
});
