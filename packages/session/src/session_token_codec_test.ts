import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {SessionFloors} from './session_floors.js';
import {MAX_TOKEN_BYTES, SessionTokenCodec} from './session_token_codec.js';

const codec = SessionTokenCodec.create({signingKeys: ['first-key']});

const floors = fc
  .array(
    fc.tuple(
      fc.string({minLength: 1, maxLength: 20, unit: 'grapheme-ascii'}),
      fc.record({term: fc.nat(), position: fc.maxSafeNat()}),
    ),
    {maxLength: 30},
  )
  .map(entries => SessionFloors.create(entries));

function encode(value: SessionFloors, using = codec): string {
  const token = using.encode(value);
  if (!token.ok) {
    throw new Error(token.error.kind);
  }
  return token.value;
}

function createManyFloors(count: number, nameLength: number): SessionFloors {
  const entries: [string, {term: number; position: number}][] = [];
  for (let index = 0; index < count; index++) {
    const name = `sched-db-${index}`.padEnd(nameLength, `${index * 7919}`);
    const position = (index * 2_654_435_761) % 1_000_000_000;
    entries.push([name, {term: 1 + (index % 700), position}]);
  }
  return SessionFloors.create(entries);
}

describe('SessionTokenCodec', () => {
  it('decodes the floors that it encoded', () => {
    fc.assert(
      fc.property(floors, value => {
        const decoded = codec.decode(encode(value));
        expect(decoded.ok && decoded.value.getEntries()).toEqual(
          value.getEntries(),
        );
      }),
      {seed: 31},
    );
  });

  it('produces only characters that need no quoting', () => {
    fc.assert(
      fc.property(floors, value => /^[\w.-]+$/.test(encode(value))),
      {seed: 32},
    );
  });

  it('rejects a token with any bit changed', () => {
    fc.assert(
      fc.property(floors, fc.nat(), fc.nat(6), (value, index, bit) => {
        const bytes = Buffer.from(encode(value));
        const offset = index % bytes.length;
        bytes[offset] = (bytes[offset] ?? 0) ^ (1 << bit);
        expect(codec.decode(bytes.toString('latin1')).ok).toBe(false);
      }),
      {seed: 33, numRuns: 500},
    );
  });

  it('rejects a truncated token', () => {
    const token = encode(createManyFloors(3, 0));
    for (let length = 0; length < token.length; length++) {
      expect(codec.decode(token.slice(0, length)).ok).toBe(false);
    }
  });

  it('does not throw for any text', () => {
    fc.assert(
      fc.property(fc.string({unit: 'binary'}), text => {
        expect(codec.decode(`1.${text}`).ok).toBe(false);
      }),
      {seed: 34},
    );
  });

  it('accepts tokens signed with any of its keys', () => {
    const rotated = SessionTokenCodec.create({
      signingKeys: ['second-key', 'first-key'],
    });
    const value = createManyFloors(1, 0);
    expect(rotated.decode(encode(value)).ok).toBe(true);
    expect(rotated.decode(encode(value, rotated)).ok).toBe(true);
    expect(codec.decode(encode(value, rotated))).toMatchObject({
      error: {kind: 'forged'},
    });
  });

  it('reports the version of a token with an unsupported version', () => {
    expect(codec.decode('2.abcd')).toMatchObject({
      error: {kind: 'unsupportedVersion', version: '2'},
    });
  });

  it('encodes the floors of 870 database groups within the maximum length', () => {
    const value = createManyFloors(870, 0);
    const token = encode(value);
    expect(token.length).toBeLessThanOrEqual(MAX_TOKEN_BYTES);
    const decoded = codec.decode(token);
    expect(decoded.ok && decoded.value.getEntries()).toEqual(
      value.getEntries(),
    );
  });

  it('fails instead of omitting a floor that does not fit', () => {
    expect(codec.encode(createManyFloors(1900, 64))).toMatchObject({
      error: {kind: 'tooLong', unit: 'bytes'},
    });
    expect(codec.encode(createManyFloors(2001, 0))).toMatchObject({
      error: {kind: 'tooLong', unit: 'databaseGroups'},
    });
  });

  it('rejects a token that exceeds the maximum length', () => {
    expect(codec.decode(`1.${'A'.repeat(MAX_TOKEN_BYTES)}`)).toMatchObject({
      error: {kind: 'tooLong'},
    });
  });

  it('requires at least one key and a minimum key length', () => {
    expect(() => SessionTokenCodec.create({signingKeys: []})).toThrow();
    expect(() => SessionTokenCodec.create({signingKeys: ['short']})).toThrow();
  });
});
