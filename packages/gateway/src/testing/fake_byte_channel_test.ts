import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {FakeByteChannel} from './fake_byte_channel.js';

const DELAY_MS = 10;

class RecordedEvents {
  readonly log: string[] = [];

  handleData = (bytes: Uint8Array): void => {
    this.log.push(`data ${Buffer.from(bytes).toString()}`);
  };

  handleDrain = (): void => {
    this.log.push('drain');
  };

  handleClosed = (reason: string): void => {
    this.log.push(reason);
  };
}

// Guards against tests of the streams that pass because the fake behaves
// better than a TCP connection.
describe('FakeByteChannel', () => {
  let clock: VirtualClock;
  let left: FakeByteChannel;
  let right: FakeByteChannel;
  let leftEvents: RecordedEvents;
  let rightEvents: RecordedEvents;

  beforeEach(() => {
    clock = VirtualClock.create();
    [left, right] = FakeByteChannel.createPair({clock, delayMs: DELAY_MS});
    leftEvents = new RecordedEvents();
    rightEvents = new RecordedEvents();
    left.start(leftEvents);
    right.start(rightEvents);
  });

  it('delivers bytes in order after the delay', () => {
    left.write(Buffer.from('a'));
    left.write(Buffer.from('b'));
    clock.advance(DELAY_MS - 1);
    expect(rightEvents.log).toEqual([]);
    clock.advance(1);
    expect(rightEvents.log).toEqual(['data a', 'data b']);
    expect(left.writtenBytes).toBe(2);
  });

  it('loses bytes and the close in one direction while dropping', () => {
    left.isDropping = true;
    left.write(Buffer.from('a'));
    right.write(Buffer.from('b'));
    clock.advance(DELAY_MS);
    left.close();
    clock.advance(DELAY_MS);
    expect(rightEvents.log).toEqual([]);
    expect(leftEvents.log).toEqual(['data b', 'closed by this side']);
  });

  it('reports a close once at each end, after the bytes before it', () => {
    left.write(Buffer.from('a'));
    left.close();
    left.close();
    right.write(Buffer.from('b'));
    clock.advance(DELAY_MS);
    right.close();
    clock.advance(DELAY_MS);
    expect(rightEvents.log).toEqual(['data a', 'closed by the other side']);
    expect(leftEvents.log).toEqual(['closed by this side']);
    expect(left.write(Buffer.from('c'))).toBe(false);
  });

  it('loses bytes under way at a reset', () => {
    left.write(Buffer.from('a'));
    left.reset();
    clock.advance(DELAY_MS);
    expect(rightEvents.log).toEqual(['connection reset']);
    expect(leftEvents.log).toEqual(['connection reset']);
  });

  it('reports a full buffer until it is drained', () => {
    left.fillBuffer();
    expect(left.write(Buffer.from('a'))).toBe(false);
    left.drainBuffer();
    expect(left.write(Buffer.from('b'))).toBe(true);
    clock.advance(DELAY_MS);
    expect(leftEvents.log).toEqual(['drain']);
    expect(rightEvents.log).toEqual(['data a', 'data b']);
  });
});
