import {serialize} from 'pg-protocol';
import {describe, expect, it} from 'vitest';
import {readStartupPacket} from './startup_packet.js';

describe('readStartupPacket', () => {
  it('parses the parameters of a startup message', () => {
    const bytes = serialize.startup({user: 'ana', database: 'sched-db-1'});
    const read = readStartupPacket(bytes);
    expect(read).toMatchObject({
      value: {length: bytes.length, packet: {kind: 'startup'}},
    });
    if (read.ok && read.value?.packet.kind === 'startup') {
      expect(read.value.packet.parameters.get('user')).toBe('ana');
      expect(read.value.packet.parameters.get('database')).toBe('sched-db-1');
    }
  });

  it('returns null for an incomplete packet', () => {
    const bytes = serialize.startup({user: 'ana'});
    expect(readStartupPacket(bytes.subarray(0, 12))).toEqual({
      ok: true,
      value: null,
    });
  });

  it('parses an SSL request and a cancel request', () => {
    expect(readStartupPacket(serialize.requestSsl())).toMatchObject({
      value: {packet: {kind: 'sslRequest'}},
    });
    expect(readStartupPacket(serialize.cancel(7, 9))).toMatchObject({
      value: {packet: {kind: 'cancelRequest', processId: 7, secretKey: 9}},
    });
  });

  it.each([
    ['a length that is too small', '000000070003000000'],
    ['a length that is too large', '7fffffff0003000000'],
    ['an unterminated parameter list', '0000000c0003000061626300'],
    ['an older protocol version', '0000000900020000000000'],
  ])('rejects %s', (_name, hex) => {
    expect(readStartupPacket(Buffer.from(hex, 'hex')).ok).toBe(false);
  });
});
