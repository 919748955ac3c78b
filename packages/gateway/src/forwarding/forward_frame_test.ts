import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  encodeFrame,
  FrameReader,
  MAX_BODY_BYTES,
  parseBody,
  type ReadFrame,
} from './forward_frame.js';
import {forwardRequestSchema, type ForwardRequest} from './forward_message.js';

const SEED = 1;

const HEADER_BYTES = 4;

function encode(message: ForwardRequest): Buffer {
  const frame = encodeFrame(message);
  if (frame === null) {
    throw new Error('the message is too large');
  }
  return Buffer.from(frame);
}

function createHeader(bodyBytes: number): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(bodyBytes, 0);
  return header;
}

function readAll(chunks: readonly Uint8Array[]): readonly ReadFrame[] {
  const reader = FrameReader.create();
  const frames: ReadFrame[] = [];
  for (const chunk of chunks) {
    for (const frame of reader.read(chunk)) {
      frames.push(frame);
      if (frame.kind === 'invalid') {
        return frames;
      }
    }
  }
  return frames;
}

/** A statement with the given text, in a transaction. */
function createRequest(text: string): ForwardRequest {
  return {
    kind: 'statement',
    exchangeId: 2,
    transactionId: 1,
    statement: {
      requestId: 'r-1',
      statement: {kind: 'read', text},
      isWrite: false,
      values: [],
      prepared: null,
      remainingMs: 10,
    },
  };
}

describe('encodeFrame', () => {
  it('writes the length of the body in bytes, not in characters', () => {
    const frame = encode(createRequest('größer \u{1f600}'));
    expect(frame.readUInt32BE(0)).toBe(frame.length - HEADER_BYTES);
  });

  // Guards against a sender whose oversized message closes the stream, and so
  // fails the other exchanges on it.
  it('returns null for a message above the limit', () => {
    const overhead = encode(createRequest('')).length - HEADER_BYTES;
    const longest = 'x'.repeat(MAX_BODY_BYTES - overhead);
    expect(encodeFrame(createRequest(longest))).not.toBeNull();
    expect(encodeFrame(createRequest(`${longest}x`))).toBeNull();
  });
});

describe('FrameReader', () => {
  // Guards against frames that are lost or merged where TCP divides the bytes.
  it('returns the same frames for every split of the stream', () => {
    const requests: readonly ForwardRequest[] = [
      {kind: 'ping', pingId: 0},
      createRequest('größer \u{1f600}'),
      {kind: 'cancel', exchangeId: 9},
    ];
    const bytes = Buffer.concat(requests.map(encode));
    const whole = requests.map(request => ({
      kind: 'body',
      text: JSON.stringify(request),
    }));
    for (let split = 0; split <= bytes.length; split++) {
      const chunks = [bytes.subarray(0, split), bytes.subarray(split)];
      expect(readAll(chunks)).toEqual(whole);
    }
    const single = [...bytes].map(byte => Uint8Array.of(byte));
    expect(readAll(single)).toEqual(whole);
  });

  it('accepts a body of the maximum length and refuses a longer one', () => {
    const longest = Buffer.concat([
      createHeader(MAX_BODY_BYTES),
      Buffer.alloc(MAX_BODY_BYTES, 0x61),
    ]);
    expect(readAll([longest])).toMatchObject([{kind: 'body'}]);
    expect(readAll([createHeader(MAX_BODY_BYTES + 1)])).toEqual([
      {kind: 'invalid', reason: 'the frame is too large'},
    ]);
  });

  it('refuses an empty frame', () => {
    expect(readAll([createHeader(0)])).toEqual([
      {kind: 'invalid', reason: 'the frame is empty'},
    ]);
  });

  // Guards against statements or rows that differ from what was sent, because
  // decoding replaces invalid bytes.
  it('refuses a body that is not valid UTF-8', () => {
    const bytes = Buffer.concat([createHeader(1), Buffer.from([0xff])]);
    expect(readAll([bytes])).toMatchObject([{kind: 'invalid'}]);
  });

  it('does not read past an invalid frame', () => {
    const bytes = Buffer.concat([
      encode({kind: 'ping', pingId: 1}),
      createHeader(0),
      encode({kind: 'ping', pingId: 2}),
    ]);
    const frames = FrameReader.create().read(bytes);
    expect(frames.map(({kind}) => kind)).toEqual(['body', 'invalid']);
  });

  // Guards against copies of what has arrived for each chunk of a large frame:
  // quadratic copying of 2 MiB in chunks of 16 bytes moves 137 GB, which takes
  // far longer than the time limit.
  it(
    'reads a large frame in small chunks in linear time',
    {timeout: 10_000},
    () => {
      const chunkBytes = 16;
      const bytes = Buffer.concat([
        createHeader(MAX_BODY_BYTES),
        Buffer.alloc(MAX_BODY_BYTES, 0x61),
      ]);
      const chunks: Uint8Array[] = [];
      for (let start = 0; start < bytes.length; start += chunkBytes) {
        chunks.push(bytes.subarray(start, start + chunkBytes));
      }
      expect(readAll(chunks)).toMatchObject([{kind: 'body'}]);
    },
  );

  // Guards against data of a later chunk in an earlier frame, when a channel
  // uses its receive buffer again.
  it('does not retain a chunk', () => {
    const reader = FrameReader.create();
    const bytes = encode({kind: 'ping', pingId: 1});
    const chunk = Buffer.from(bytes.subarray(0, 7));
    expect(reader.read(chunk)).toEqual([]);
    chunk.fill(0);
    expect(reader.read(bytes.subarray(7))).toEqual([
      {kind: 'body', text: '{"kind":"ping","pingId":1}'},
    ]);
  });

  it('never throws and returns the same frames for any split of any bytes', () => {
    const frame = fc
      .uint8Array({maxLength: 30})
      .map(body => Buffer.concat([createHeader(body.length), body]));
    const content = fc
      .array(fc.oneof(frame, fc.uint8Array({maxLength: 8})), {maxLength: 6})
      .map(parts => Buffer.concat(parts));
    fc.assert(
      fc.property(
        content,
        fc.array(fc.nat(200), {maxLength: 5}),
        (bytes, cuts) => {
          const chunks: Uint8Array[] = [];
          let start = 0;
          for (const cut of [...cuts].sort((left, right) => left - right)) {
            chunks.push(bytes.subarray(start, Math.max(start, cut)));
            start = Math.max(start, cut);
          }
          chunks.push(bytes.subarray(start));
          expect(readAll(chunks)).toEqual(readAll([bytes]));
        },
      ),
      {numRuns: 500, seed: SEED},
    );
  });
});

describe('parseBody', () => {
  it('returns a valid message', () => {
    const request = createRequest('größer');
    const parsed = parseBody(forwardRequestSchema, JSON.stringify(request));
    expect(parsed).toEqual({ok: true, value: request});
  });

  it.each([
    ['text that is not JSON', '{'],
    ['an unknown kind', '{"kind":"other"}'],
    ['a missing field', '{"kind":"cancel"}'],
    ['deep nesting', '['.repeat(100_000)],
    ['a long value', JSON.stringify({kind: 'x'.repeat(100_000)})],
  ])('refuses %s with a bounded reason', (_name, body) => {
    const parsed = parseBody(forwardRequestSchema, body);
    expect(parsed.ok).toBe(false);
    expect(parsed.ok ? '' : parsed.error).toMatch(/^.{1,200}$/);
  });
});
