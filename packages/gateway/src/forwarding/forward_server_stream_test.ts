import {failure, success} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {beforeEach, describe, expect, it} from 'vitest';
import {
  createForwardedOperation,
  createForwardedStatement,
  createForwardReply,
} from '../testing/create_forward_message.js';
import {FakeByteChannel} from '../testing/fake_byte_channel.js';
import {settlePromises} from '../testing/settle.js';
import {
  encodeFrame,
  FrameReader,
  MAX_BODY_BYTES,
  parseBody,
} from './forward_frame.js';
import {
  forwardResponseSchema,
  type ForwardRequest,
  type ForwardResponse,
} from './forward_message.js';
import {
  ForwardServerStream,
  type ForwardRequestHandler,
  type HandledResult,
} from './forward_server_stream.js';

const DELAY_MS = 1;

/** Records the calls; the test settles the results. */
class FakeHandler implements ForwardRequestHandler {
  readonly calls: string[] = [];
  readonly settleByExchange = new Map<
    number,
    {resolve(result: HandledResult): void; reject(error: Error): void}
  >();
  /** If set, calls throw instead of returning. */
  thrown: Error | null = null;

  handleOperation(exchangeId: number): Promise<HandledResult> {
    return this.handle(exchangeId, `operation ${exchangeId}`);
  }

  handleStatement(
    transactionId: number,
    _statement: unknown,
    exchangeId: number,
  ): Promise<HandledResult> {
    return this.handle(exchangeId, `statement ${exchangeId} ${transactionId}`);
  }

  handleAbandon(transactionId: number): void {
    this.record(`abandon ${transactionId}`);
  }

  handleCancel(exchangeId: number): void {
    this.record(`cancel ${exchangeId}`);
  }

  handleClosed(): void {
    this.calls.push('closed');
  }

  resolve(exchangeId: number, result: HandledResult): void {
    this.settleByExchange.get(exchangeId)?.resolve(result);
  }

  reject(exchangeId: number): void {
    this.settleByExchange.get(exchangeId)?.reject(new Error('broken'));
  }

  private handle(exchangeId: number, call: string): Promise<HandledResult> {
    this.record(call);
    return new Promise((resolve, reject) => {
      this.settleByExchange.set(exchangeId, {resolve, reject});
    });
  }

  private record(call: string): void {
    if (this.thrown !== null) {
      throw this.thrown;
    }
    this.calls.push(call);
  }
}

const operation = createForwardedOperation('r-1');
const statement = createForwardedStatement('r-2');

function createOperation(exchangeId: number): ForwardRequest {
  return {kind: 'operation', exchangeId, operation};
}

function createStatement(exchangeId: number): ForwardRequest {
  return {kind: 'statement', exchangeId, transactionId: 1, statement};
}

describe('ForwardServerStream', () => {
  let clock: VirtualClock;
  let channel: FakeByteChannel;
  let follower: FakeByteChannel;
  let handler: FakeHandler;
  let stream: ForwardServerStream;
  let faults: string[];
  let responses: ForwardResponse[];
  let followerCloseReason: string | null;

  beforeEach(() => {
    clock = VirtualClock.create();
    [channel, follower] = FakeByteChannel.createPair({
      clock,
      delayMs: DELAY_MS,
    });
    handler = new FakeHandler();
    faults = [];
    responses = [];
    followerCloseReason = null;
    const reader = FrameReader.create();
    follower.start({
      handleData: bytes => {
        for (const frame of reader.read(bytes)) {
          const body = frame.kind === 'body' ? frame.text : '';
          const parsed = parseBody(forwardResponseSchema, body);
          if (!parsed.ok) {
            throw new Error(parsed.error);
          }
          responses.push(parsed.value);
        }
      },
      handleDrain: () => {},
      handleClosed: reason => {
        followerCloseReason = reason;
      },
    });
    stream = ForwardServerStream.create(channel, {
      handler,
      handleInvalid: reason => faults.push(reason),
    });
  });

  function send(...requests: readonly ForwardRequest[]): void {
    for (const request of requests) {
      follower.write(encodeFrame(request) ?? new Uint8Array());
    }
    clock.advance(DELAY_MS);
  }

  /** Delivers what the stream has sent. */
  async function deliver(): Promise<void> {
    await settlePromises();
    clock.advance(DELAY_MS);
  }

  describe('requests', () => {
    it('passes requests on and sends the results in the order of their end', async () => {
      send(createOperation(1), createStatement(2), createOperation(3));
      expect(handler.calls).toEqual([
        'operation 1',
        'statement 2 1',
        'operation 3',
      ]);
      const reply = createForwardReply('row');
      handler.resolve(3, failure('notServing'));
      handler.resolve(1, success(reply));
      await deliver();
      expect(responses).toEqual([
        {kind: 'declined', exchangeId: 3, reason: 'notServing'},
        {kind: 'reply', exchangeId: 1, ...reply},
      ]);
    });

    // Guards against a live holder that counts as silent, because it responds
    // to a ping only after a slow statement.
    it('answers a ping at once', () => {
      send(createOperation(1), {kind: 'ping', pingId: 7});
      clock.advance(DELAY_MS);
      expect(responses).toEqual([{kind: 'pong', pingId: 7}]);
    });

    it('passes on that a caller has given up', () => {
      send(createOperation(1), {kind: 'abandon', transactionId: 1});
      expect(handler.calls).toEqual(['operation 1', 'abandon 1']);
    });

    it('sends no result of a cancelled exchange', async () => {
      send(createOperation(1), createStatement(2));
      send({kind: 'cancel', exchangeId: 2}, {kind: 'cancel', exchangeId: 2});
      handler.resolve(2, success(createForwardReply('row')));
      handler.resolve(1, failure('stopping'));
      await deliver();
      expect(handler.calls.slice(2)).toEqual(['cancel 2']);
      expect(responses).toMatchObject([{kind: 'declined', exchangeId: 1}]);
    });

    // Guards against a cancel that is mistaken for one of a later exchange.
    it('ignores a cancel of an exchange that has its result', async () => {
      send(createOperation(1));
      handler.resolve(1, failure('stopping'));
      await deliver();
      send({kind: 'cancel', exchangeId: 1}, {kind: 'cancel', exchangeId: 9});
      expect(handler.calls).toEqual(['operation 1']);
      expect(stream.isOpen).toBe(true);
    });

    it('sends results also while the buffer is full', async () => {
      channel.fillBuffer();
      send(createOperation(1), createOperation(2));
      handler.resolve(1, failure('stopping'));
      handler.resolve(2, failure('stopping'));
      await deliver();
      expect(responses).toHaveLength(2);
    });
  });

  describe('a reply that cannot be sent', () => {
    const tooLarge = createForwardReply('x'.repeat(MAX_BODY_BYTES));
    const small = createForwardReply('row');
    const ofFollower = {
      ...small,
      reply: {
        ...small.reply,
        result: {kind: 'error', error: {kind: 'accessDenied'}},
      },
    } as const;

    // Guards against one reply that ends the other exchanges of the stream, or
    // whose statement is executed again elsewhere.
    it.each([
      ['with too many rows', tooLarge],
      ['with an error that a follower does not accept', ofFollower],
    ])('%s becomes an unknown outcome', async (_name, reply) => {
      send(createOperation(1));
      handler.resolve(1, success(reply));
      await deliver();
      expect(responses).toEqual([
        {
          kind: 'reply',
          exchangeId: 1,
          reply: {
            rows: [],
            result: {kind: 'error', error: {kind: 'outcomeUnknown'}},
            transactionState: 'idle',
            position: small.reply.position,
          },
          committedPosition: null,
          wasSent: true,
        },
      ]);
      expect(faults).toHaveLength(1);
      expect(stream.isOpen).toBe(true);
    });

    it('is sent with an error that a follower accepts', async () => {
      const result = {
        kind: 'error',
        error: {kind: 'overloaded', retryAfterMs: 40},
      } as const;
      const reply = {...small, reply: {...small.reply, result}};
      send(createOperation(1));
      handler.resolve(1, success(reply));
      await deliver();
      expect(responses).toEqual([{kind: 'reply', exchangeId: 1, ...reply}]);
      expect(faults).toEqual([]);
    });
  });

  describe('a fault of the handler', () => {
    // Guards against the end of the process, which an unhandled rejection or an
    // exception in an event of a socket causes.
    it('that rejects ends the stream and is reported', async () => {
      send(createOperation(1), createOperation(2));
      handler.reject(1);
      await deliver();
      expect(faults).toEqual(['exchange 1 failed: Error: broken']);
      expect(handler.calls.slice(2)).toEqual(['closed']);
      expect(followerCloseReason).toBe('closed by the other side');
      handler.reject(2);
      await deliver();
      expect(faults).toHaveLength(2);
    });

    it.each([
      createOperation(2),
      createStatement(2),
      {kind: 'abandon', transactionId: 1},
      {kind: 'cancel', exchangeId: 1},
    ] as const)('that throws at $kind ends the stream', request => {
      send(createOperation(1));
      handler.thrown = new Error('broken');
      send(request);
      expect(faults).toEqual([`${request.kind} failed: Error: broken`]);
      expect(handler.calls.slice(1)).toEqual(['closed']);
      expect(channel.isOpen).toBe(false);
    });

    it('whose result cannot be encoded ends the stream', async () => {
      send(createOperation(1));
      const reply = createForwardReply('row');
      handler.resolve(1, success({...reply, wasSent: 1n as never}));
      await deliver();
      expect(faults).toHaveLength(1);
      expect(handler.calls).toEqual(['operation 1', 'closed']);
    });
  });

  describe('the end of the stream', () => {
    it('is reported once, whichever side ends it', () => {
      send(createOperation(1));
      follower.close();
      clock.advance(DELAY_MS);
      stream.close('again');
      expect(handler.calls).toEqual(['operation 1', 'closed']);
      expect(stream.closeReason).toBe('closed by the other side');
      expect(faults).toEqual([]);
    });

    it('drops the results that come after it', async () => {
      send(createOperation(1));
      stream.close('stopping');
      const writes = channel.written.length;
      handler.resolve(1, success(createForwardReply('row')));
      await deliver();
      expect(channel.written).toHaveLength(writes);
      expect(handler.calls).toEqual(['operation 1', 'closed']);
      expect(followerCloseReason).toBe('closed by the other side');
    });

    it('drops the requests that come after it', () => {
      stream.close('stopping');
      channel.receive(encodeFrame(createOperation(1)) ?? new Uint8Array());
      expect(handler.calls).toEqual(['closed']);
    });

    // Guards against requests of one chunk that run after the handler has ended
    // the stream, for example because the process stops.
    it('drops the rest of a chunk', () => {
      handler.handleAbandon = () => stream.close('stopping');
      const frames = [{kind: 'abandon', transactionId: 1}, createOperation(1)];
      channel.receive(
        Buffer.concat(
          frames.map(
            frame => encodeFrame(frame as ForwardRequest) ?? Buffer.alloc(0),
          ),
        ),
      );
      expect(handler.calls).toEqual(['closed']);
    });
  });

  describe('an invalid request', () => {
    const frame = (value: unknown) => {
      const body = Buffer.from(
        typeof value === 'string' ? value : JSON.stringify(value),
      );
      const header = Buffer.alloc(4);
      header.writeUInt32BE(body.length);
      return Buffer.concat([header, body]);
    };

    it.each([
      ['an empty frame', Buffer.alloc(4)],
      ['an oversized frame', Buffer.from([0xff, 0xff, 0xff, 0xff])],
      ['text that is not JSON', frame('{')],
      ['an unknown kind', frame({kind: 'other'})],
      ['a response', frame({kind: 'pong', pingId: 1})],
      [
        'an operation without a field',
        frame({...createOperation(1), operation: {...operation, route: null}}),
      ],
      ['an exchange id of zero', frame({...createOperation(1), exchangeId: 0})],
      [
        'a statement that needs no server',
        frame({
          ...createStatement(1),
          statement: {
            ...statement,
            statement: {kind: 'setValue', name: 'a', value: 'b'},
          },
        }),
      ],
      [
        'an exchange id that is used again',
        Buffer.concat([frame(createOperation(5)), frame(createOperation(5))]),
      ],
      [
        'an exchange id that decreases',
        Buffer.concat([frame(createOperation(5)), frame(createStatement(4))]),
      ],
    ])('%s is reported and closes the stream', (_name, bytes) => {
      channel.receive(bytes);
      expect(faults).toHaveLength(1);
      expect(faults[0]?.length).toBeLessThan(300);
      expect(handler.calls.filter(call => call === 'closed')).toHaveLength(1);
      expect(handler.calls.length).toBeLessThanOrEqual(2);
      expect(channel.isOpen).toBe(false);
    });
  });
});
