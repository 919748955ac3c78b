import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {buildFrame} from './backend_message_builder.js';
import {FrameSplitter} from './frame_splitter.js';

const MAX_FRAME_BYTES = 1000;

function split(chunks: readonly Buffer[]): readonly string[] {
  const splitter = FrameSplitter.create(MAX_FRAME_BYTES);
  const frames: string[] = [];
  for (const chunk of chunks) {
    splitter.push(chunk, (type, buffer, start, end) => {
      frames.push(buffer.toString('latin1', start, end));
      expect(buffer[start]).toBe(type);
    });
  }
  return frames;
}

describe('FrameSplitter', () => {
  it('reports the same frames for any division of the stream into chunks', () => {
    const bodies = fc.array(fc.uint8Array({maxLength: 40}), {maxLength: 12});
    const cuts = fc.array(fc.nat(400), {maxLength: 12});
    fc.assert(
      fc.property(bodies, cuts, (bodyList, cutList) => {
        const frames = bodyList.map(body =>
          buildFrame(0x44, Buffer.from(body)),
        );
        const stream = Buffer.concat(frames);
        const chunks: Buffer[] = [];
        let from = 0;
        for (const cut of [...cutList].sort((a, b) => a - b)) {
          chunks.push(stream.subarray(from, cut));
          from = Math.max(from, Math.min(cut, stream.length));
        }
        chunks.push(stream.subarray(from));
        expect(split(chunks)).toEqual(frames.map(f => f.toString('latin1')));
      }),
      {seed: 1, numRuns: 300},
    );
  });

  it('rejects a length smaller than the length field', () => {
    const splitter = FrameSplitter.create(MAX_FRAME_BYTES);
    const result = splitter.push(Buffer.from([0x51, 0, 0, 0, 3]), () => {});
    expect(result).toEqual({
      ok: false,
      error: {kind: 'malformedLength', length: 3},
    });
  });

  it('rejects a frame above the limit before its body is received', () => {
    const splitter = FrameSplitter.create(MAX_FRAME_BYTES);
    const result = splitter.push(Buffer.from([0x51, 0, 0, 4, 0]), () => {});
    expect(result).toMatchObject({
      error: {kind: 'frameTooLarge', length: 1024},
    });
  });
});
