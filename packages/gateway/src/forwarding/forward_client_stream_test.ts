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
  ForwardClientStream,
  type ForwardExchange,
  type ForwardResult,
} from './forward_client_stream.js';
import {
  encodeFrame,
  FrameReader,
  MAX_BODY_BYTES,
  parseBody,
} from './forward_frame.js';
import {
  forwardRequestSchema,
  type ForwardRequest,
  type ForwardResponse,
} from './forward_message.js';

const DELAY_MS = 1;
const TIMEOUT_MS = 1_000;

/** A holder that records the requests and responds as the test says. */
class ScriptedHolder {
  readonly requests: ForwardRequest[] = [];
  closeReason: string | null = null;
  private readonly reader = FrameReader.create();

  constructor(private readonly channel: FakeByteChannel) {
    channel.start({
      handleData: bytes => this.read(bytes),
      handleDrain: () => {},
      handleClosed: reason => {
        this.closeReason = reason;
      },
    });
  }

  get kinds(): readonly string[] {
    return this.requests.map(({kind}) => kind);
  }

  respond(response: ForwardResponse): void {
    const frame = encodeFrame(response);
    if (frame !== null) {
      this.channel.write(frame);
    }
  }

  reply(exchangeId: number, row: string): void {
    const reply = createForwardReply(row);
    this.respond({kind: 'reply', exchangeId, ...reply});
  }

  private read(bytes: Uint8Array): void {
    for (const frame of this.reader.read(bytes)) {
      if (frame.kind === 'invalid') {
        throw new Error(frame.reason);
      }
      const parsed = parseBody(forwardRequestSchema, frame.text);
      if (!parsed.ok) {
        throw new Error(parsed.error);
      }
      this.requests.push(parsed.value);
    }
  }
}

describe('ForwardClientStream', () => {
  let clock: VirtualClock;
  let channel: FakeByteChannel;
  let holderChannel: FakeByteChannel;
  let holder: ScriptedHolder;
  let stream: ForwardClientStream;
  let closeReasons: string[];

  beforeEach(() => {
    clock = VirtualClock.create();
    [channel, holderChannel] = FakeByteChannel.createPair({
      clock,
      delayMs: DELAY_MS,
    });
    holder = new ScriptedHolder(holderChannel);
    closeReasons = [];
    stream = ForwardClientStream.create(channel, {
      clock,
      handleClosed: reason => closeReasons.push(reason),
    });
  });

  function sendOperation(timeoutMs = TIMEOUT_MS): ForwardExchange {
    return stream.sendOperation(createForwardedOperation('r-1'), timeoutMs);
  }

  /** Returns the result of an exchange, or null if it is pending. */
  async function getResult(
    exchange: ForwardExchange,
  ): Promise<ForwardResult | null> {
    let result: ForwardResult | null = null;
    exchange.result.then(
      settled => {
        result = settled;
      },
      () => {},
    );
    await settlePromises();
    return result;
  }

  async function expectNotSent(exchange: ForwardExchange): Promise<void> {
    expect(await getResult(exchange)).toMatchObject({
      ok: false,
      error: {kind: 'notSent'},
    });
  }

  async function expectLost(exchange: ForwardExchange): Promise<void> {
    expect(await getResult(exchange)).toMatchObject({
      ok: false,
      error: {kind: 'connectionLost'},
    });
  }

  describe('exchanges', () => {
    it('sends the whole operation and statement', async () => {
      const operation = createForwardedOperation('r-1');
      const statement = createForwardedStatement('r-2', {
        statement: {kind: 'execute', name: 'größe', argumentText: '(7)'},
        prepared: {access: 'read', definitionText: 'SELECT \u{1f600}'},
      });
      const begin = stream.sendOperation(operation, TIMEOUT_MS);
      stream.sendStatement(begin.exchangeId, statement, TIMEOUT_MS);
      stream.abandon(begin.exchangeId);
      clock.advance(DELAY_MS);
      expect(holder.requests).toEqual([
        {kind: 'operation', exchangeId: 1, operation},
        {kind: 'statement', exchangeId: 2, transactionId: 1, statement},
        {kind: 'abandon', transactionId: 1},
      ]);
    });

    // Guards against a reply that reaches the caller of another statement.
    it('matches replies that arrive in another order', async () => {
      const first = sendOperation();
      const second = sendOperation();
      const third = sendOperation();
      holder.reply(third.exchangeId, 'third');
      holder.reply(first.exchangeId, 'first');
      clock.advance(DELAY_MS);
      expect(await getResult(first)).toEqual({
        ok: true,
        value: createForwardReply('first'),
      });
      expect(await getResult(second)).toBeNull();
      expect(await getResult(third)).toEqual({
        ok: true,
        value: createForwardReply('third'),
      });
    });

    it('reports that the holder declined', async () => {
      const exchange = sendOperation();
      const {exchangeId} = exchange;
      holder.respond({kind: 'declined', exchangeId, reason: 'stopping'});
      clock.advance(DELAY_MS);
      expect(await getResult(exchange)).toEqual({
        ok: false,
        error: {kind: 'declined', reason: 'stopping'},
      });
      expect(stream.isOpen).toBe(true);
    });

    // Guards against a holder that works for a caller who has given up, and
    // against a late reply that settles an exchange twice.
    it('cancels an exchange whose time has passed', async () => {
      const exchange = sendOperation(100);
      clock.advance(100);
      holder.reply(exchange.exchangeId, 'late');
      clock.advance(DELAY_MS);
      expect(await getResult(exchange)).toEqual({
        ok: false,
        error: {kind: 'timedOut'},
      });
      expect(holder.requests.at(-1)).toEqual({
        kind: 'cancel',
        exchangeId: exchange.exchangeId,
      });
      expect(stream.isOpen).toBe(true);
    });

    it('sends no cancel after a reply, and leaves no timer behind', async () => {
      const exchange = sendOperation();
      holder.reply(exchange.exchangeId, 'row');
      clock.advance(10_000);
      expect(holder.kinds).toEqual(['operation']);
      expect(clock.getDelayToNextTimerMs()).toBeNull();
    });

    it('ignores responses to unknown exchanges', async () => {
      const exchange = sendOperation();
      holder.reply(99, 'other');
      holder.respond({kind: 'declined', exchangeId: 98, reason: 'stopping'});
      holder.respond({kind: 'pong', pingId: 97});
      holder.reply(exchange.exchangeId, 'row');
      holder.reply(exchange.exchangeId, 'again');
      clock.advance(DELAY_MS);
      expect(await getResult(exchange)).toMatchObject({
        ok: true,
        value: createForwardReply('row'),
      });
      expect(stream.isOpen).toBe(true);
    });

    // Guards against a message that the holder must refuse as malformed, which
    // would end the other exchanges of the stream.
    it.each([
      ['a deadline that has passed', {remainingMs: -0.1}, TIMEOUT_MS],
      ['an unlimited deadline', {remainingMs: Infinity}, TIMEOUT_MS],
      ['a deadline that is no number', {remainingMs: NaN}, TIMEOUT_MS],
      ['no time to wait', {}, 0],
      [
        'a message that is too large',
        {statement: {kind: 'read', text: 'x'.repeat(MAX_BODY_BYTES)}} as const,
        TIMEOUT_MS,
      ],
    ])('does not send %s', async (_name, changes, timeoutMs) => {
      const operation = createForwardedOperation('r-1', changes);
      await expectNotSent(stream.sendOperation(operation, timeoutMs));
      expect(channel.written).toEqual([]);
      expect(stream.isOpen).toBe(true);
    });

    // Guards against a wait that ends at once: the timers of the runtime treat
    // a delay of more than 31 bits as 1 ms.
    it('accepts an unlimited wait', async () => {
      const exchange = sendOperation(Infinity);
      clock.advance(DELAY_MS);
      expect(await getResult(exchange)).toBeNull();
      expect(clock.getDelayToNextTimerMs()).toBeLessThan(2 ** 31);
    });
  });

  describe('liveness', () => {
    it('pings after 150 ms without a byte, and stays open at a pong', async () => {
      const exchange = sendOperation(2_000);
      clock.advance(149);
      expect(holder.kinds).toEqual(['operation']);
      clock.advance(1 + DELAY_MS);
      expect(holder.requests.at(-1)).toEqual({kind: 'ping', pingId: 1});
      clock.advance(200);
      holder.respond({kind: 'pong', pingId: 1});
      clock.advance(200);
      expect(stream.isOpen).toBe(true);
      holder.reply(exchange.exchangeId, 'row');
      clock.advance(DELAY_MS);
      expect(await getResult(exchange)).toMatchObject({ok: true});
    });

    it('closes the stream 300 ms after a ping without a byte', async () => {
      const exchange = sendOperation(2_000);
      holderChannel.isDropping = true;
      clock.advance(449);
      expect(stream.isOpen).toBe(true);
      clock.advance(1);
      expect(stream.isOpen).toBe(false);
      await expectLost(exchange);
      expect(closeReasons).toEqual(['the holder is silent']);
      clock.advance(10_000);
      expect(closeReasons).toHaveLength(1);
    });

    it('sends nothing while the stream is idle', () => {
      const exchange = sendOperation();
      holder.reply(exchange.exchangeId, 'row');
      clock.advance(60_000);
      expect(holder.kinds).toEqual(['operation']);
      expect(stream.isOpen).toBe(true);
    });

    // Guards against a slow statement of one caller that closes the stream.
    it('stays open while any byte arrives', async () => {
      const slow = sendOperation(5_000);
      for (let turn = 0; turn < 20; turn++) {
        const quick = sendOperation();
        holder.reply(quick.exchangeId, 'row');
        clock.advance(100);
      }
      expect(await getResult(slow)).toBeNull();
      expect(holder.kinds).not.toContain('ping');
    });
  });

  describe('a full buffer', () => {
    it('rejects new exchanges until it has drained', async () => {
      const before = sendOperation();
      channel.fillBuffer();
      const handedOver = sendOperation();
      const rejected = sendOperation();
      await expectNotSent(rejected);
      channel.drainBuffer();
      const after = sendOperation();
      clock.advance(DELAY_MS);
      const sentIds = holder.requests.map(request =>
        request.kind === 'operation' ? request.exchangeId : null,
      );
      expect(sentIds).toEqual([
        before.exchangeId,
        handedOver.exchangeId,
        after.exchangeId,
      ]);
      expect(await getResult(handedOver)).toBeNull();
    });

    // Guards against transactions that stay open at the holder.
    it('still sends that a caller has given up', () => {
      const first = sendOperation(100);
      channel.fillBuffer();
      sendOperation();
      stream.abandon(first.exchangeId);
      clock.advance(100 + DELAY_MS);
      expect(holder.kinds.slice(2)).toEqual(['abandon', 'cancel']);
    });
  });

  describe('the end of the stream', () => {
    it('fails every pending exchange as lost, and later ones as not sent', async () => {
      const first = sendOperation();
      const second = sendOperation();
      holderChannel.close();
      clock.advance(DELAY_MS);
      await expectLost(first);
      await expectLost(second);
      expect(stream.isOpen).toBe(false);
      expect(closeReasons).toEqual(['closed by the other side']);
      await expectNotSent(sendOperation());
      stream.abandon(first.exchangeId);
      clock.advance(10_000);
      expect(holder.kinds).toEqual([]);
      expect(clock.getDelayToNextTimerMs()).toBeNull();
    });

    it('closes the channel and reports its end once', async () => {
      const exchange = sendOperation();
      stream.close('not needed');
      stream.close('again');
      await expectLost(exchange);
      clock.advance(DELAY_MS);
      expect(holder.closeReason).toBe('closed by the other side');
      expect(closeReasons).toEqual(['not needed']);
    });

    it('ignores messages after the end', async () => {
      const exchange = sendOperation();
      holder.reply(exchange.exchangeId, 'row');
      stream.close('not needed');
      const frame = encodeFrame({
        kind: 'reply',
        exchangeId: exchange.exchangeId,
        ...createForwardReply('row'),
      });
      channel.receive(frame ?? new Uint8Array());
      clock.advance(DELAY_MS);
      await expectLost(exchange);
    });

    // Guards against an exchange that is reported as not sent, and so executed
    // again elsewhere, though its frame may have reached the holder.
    it('reports an exchange as lost if the channel ends during its write', async () => {
      const {write} = channel;
      channel.write = bytes => {
        write.call(channel, bytes);
        channel.reset();
        return false;
      };
      await expectLost(sendOperation());
      expect(closeReasons).toEqual(['connection reset']);
    });
  });

  describe('an invalid response', () => {
    const text = (value: string) => {
      const body = Buffer.from(value);
      const header = Buffer.alloc(4);
      header.writeUInt32BE(body.length);
      return Buffer.concat([header, body]);
    };

    it.each([
      ['an empty frame', Buffer.alloc(4)],
      ['an oversized frame', Buffer.from([0, 0x20, 0, 1])],
      ['text that is not JSON', text('{')],
      ['an unknown kind', text('{"kind":"other","exchangeId":1}')],
      ['a request', text('{"kind":"ping","pingId":1}')],
      [
        'a reply without its fields',
        text('{"kind":"reply","exchangeId":1,"wasSent":true}'),
      ],
    ])('%s closes the stream', async (_name, bytes) => {
      const exchange = sendOperation();
      channel.receive(bytes);
      await expectLost(exchange);
      expect(closeReasons).toHaveLength(1);
      expect(channel.isOpen).toBe(false);
    });

    // Guards against messages of a stream that is out of step.
    it('ignores what follows it', async () => {
      const exchange = sendOperation();
      const reply = encodeFrame({
        kind: 'reply',
        exchangeId: exchange.exchangeId,
        ...createForwardReply('row'),
      });
      channel.receive(Buffer.concat([text('{'), reply ?? Buffer.alloc(0)]));
      await expectLost(exchange);
    });
  });
});
