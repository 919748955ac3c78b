import {describe, expect, it} from 'vitest';
import {createQueryPacket, MessageCounter} from './wire_client.js';

function createMessage(type: string, body: string): Buffer {
  const message = createQueryPacket(body);
  message.write(type, 0, 'latin1');
  return message;
}

describe('createQueryPacket', () => {
  it('encodes type, length and text', () => {
    expect(createQueryPacket('ab').toString('hex')).toBe('5100000007616200');
  });
});

describe('MessageCounter', () => {
  it('counts messages at every split of the stream', () => {
    const stream = Buffer.concat([
      createMessage('D', 'row with a Z and an E'),
      createMessage('E', 'error'),
      createMessage('Z', 'I'),
    ]);
    for (let cut = 0; cut <= stream.length; cut++) {
      const counter = MessageCounter.create();
      const first = counter.count(stream.subarray(0, cut));
      const second = counter.count(stream.subarray(cut));
      expect(first.ready + second.ready).toBe(1);
      expect(first.errors + second.errors).toBe(1);
    }
  });
});
