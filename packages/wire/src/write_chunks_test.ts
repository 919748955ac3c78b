import {PassThrough} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {writeChunks} from './write_chunks.js';

describe('writeChunks', () => {
  it.each([
    {title: 'nothing', parts: []},
    {title: 'one buffer', parts: ['a']},
    {title: 'several buffers in order', parts: ['ab', '', 'c', 'def']},
  ])('writes $title and leaves the stream uncorked', ({parts}) => {
    const stream = new PassThrough();
    writeChunks(
      stream,
      parts.map(part => Buffer.from(part)),
    );
    const written: unknown = stream.read();
    expect(written === null ? '' : String(written)).toBe(parts.join(''));
    expect(stream.writableCorked).toBe(0);
  });
});
