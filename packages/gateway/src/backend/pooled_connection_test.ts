import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {PreparedStatement} from '../statement/caller_statement.js';
import {createEntry} from '../testing/fake_instances.js';
import type {BackendCommand, BackendConnection} from './backend_connection.js';
import {
  getPreparedStatementName,
  PooledConnection,
} from './pooled_connection.js';

const UNUSED_CONNECTION: BackendConnection = {
  backendServer: createEntry('a', 'replica'),
  isOpen: true,
  pendingCount: 0,
  getUnresponsiveSinceMs: () => null,
  execute: () => Promise.reject(new Error('execute must not be called')),
  close: () => {},
};

/** Model of the session state of a backend server. */
class ServerModel {
  values = new Map<string, string>();
  prepared = new Map<string, PreparedStatement>();

  run(command: BackendCommand): void {
    switch (command.kind) {
      case 'reset':
        this.values.clear();
        this.prepared.clear();
        return;
      case 'setValue':
        this.values.set(command.name, command.value);
        return;
      case 'prepare':
        this.prepared.set(command.name, command.prepared);
        return;
      default:
        throw new Error(`Unexpected command ${command.kind}.`);
    }
  }
}

describe('PooledConnection', () => {
  it('gives each statement exactly the values and prepared statement of its session', () => {
    const name = fc.constantFrom('a', 'b', 'c');
    const session = fc.record({
      values: fc.uniqueArray(fc.tuple(name, fc.constantFrom('1', '2')), {
        selector: ([key]) => key,
      }),
      prepared: fc.option(
        fc.record({
          access: fc.constantFrom('read' as const, 'write' as const),
          definitionText: fc.constantFrom('q1', 'q2'),
        }),
      ),
    });
    fc.assert(
      fc.property(fc.array(session, {maxLength: 30}), sessions => {
        const pooled = PooledConnection.create(UNUSED_CONNECTION, 'proxy');
        const server = new ServerModel();
        for (const {values, prepared} of sessions) {
          const context = {values: new Map(values), prepared};
          for (const command of pooled.planPreparation(context)) {
            server.run(command);
            pooled.recordPreparation(command);
          }
          expect(server.values).toEqual(context.values);
          if (prepared !== null) {
            const held = server.prepared.get(
              getPreparedStatementName(prepared),
            );
            expect(held).toEqual(prepared);
          }
        }
      }),
    );
  });

  it('needs no commands for a session with the same state as the previous one', () => {
    const pooled = PooledConnection.create(UNUSED_CONNECTION, 'proxy');
    const context = {
      values: new Map([['a', '1']]),
      prepared: {access: 'read' as const, definitionText: 'q1'},
    };
    for (const command of pooled.planPreparation(context)) {
      pooled.recordPreparation(command);
    }
    expect(pooled.isPreparedFor(context)).toBe(true);
  });

  it('prepares a statement again after the server reported it as unknown', () => {
    const pooled = PooledConnection.create(UNUSED_CONNECTION, 'proxy');
    const prepared = {access: 'read' as const, definitionText: 'q1'};
    const context = {values: new Map<string, string>(), prepared};
    for (const command of pooled.planPreparation(context)) {
      pooled.recordPreparation(command);
    }
    pooled.removePrepared(prepared);
    expect(pooled.planPreparation(context)).toHaveLength(1);
  });

  // Guards against a statement that runs as another one: a blank ended the name,
  // and the rest of the definition was read as a second definition.
  it.each(['q WRITE 1a4', 'a b', '', 'é', 'x'.repeat(1_000)])(
    'names the definition %j in one short word',
    definitionText => {
      for (const access of ['read', 'write'] as const) {
        const name = getPreparedStatementName({access, definitionText});
        expect(name).toMatch(/^[\x21-\x7e]{1,70}$/);
      }
    },
  );

  it('gives different statements different names', () => {
    const names = new Set<string>();
    const definitions = [
      'q',
      'q WRITE 1a4',
      'q READ 1a4',
      'q  WRITE 1a4',
      'h_q',
    ];
    for (const definitionText of definitions) {
      names.add(getPreparedStatementName({access: 'read', definitionText}));
      names.add(getPreparedStatementName({access: 'write', definitionText}));
    }
    expect(names.size).toBe(2 * definitions.length);
  });
});
