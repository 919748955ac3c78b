import {failure, success} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  createForwardedOperation,
  createForwardedStatement,
  createForwardReply,
} from '../testing/create_forward_message.js';
import {FakeByteChannel} from '../testing/fake_byte_channel.js';
import {settlePromises} from '../testing/settle.js';
import {
  ForwardClientStream,
  type ForwardResult,
} from './forward_client_stream.js';
import {encodeFrame, MAX_BODY_BYTES} from './forward_frame.js';
import type {ForwardRequest, ForwardResponse} from './forward_message.js';
import {
  ForwardServerStream,
  type ForwardRequestHandler,
  type HandledResult,
} from './forward_server_stream.js';

const RUNS = 2_000;
const SEED = 1;

const HEADER_BYTES = 4;
const EXCHANGES = 4;
const TIMEOUT_MS = 1_000;

/** Ids around those of the exchanges that are pending. */
const anyId = fc.integer({min: 1, max: EXCHANGES + 2});

const anyText = fc.oneof(
  fc.string({maxLength: 12}),
  fc.string({maxLength: 6, unit: 'binary'}),
);

const anyResponse: fc.Arbitrary<ForwardResponse> = fc.oneof(
  fc.record({id: anyId, row: anyText}).map(({id, row}) => ({
    kind: 'reply' as const,
    exchangeId: id,
    ...createForwardReply(row),
  })),
  anyId.map(exchangeId => ({
    kind: 'declined' as const,
    exchangeId,
    reason: 'stopping' as const,
  })),
  fc.nat(9).map(pingId => ({kind: 'pong' as const, pingId})),
);

const anyRequest: fc.Arbitrary<ForwardRequest> = fc.oneof(
  fc
    .record({exchangeId: anyId, requestId: fc.string({minLength: 1})})
    .map(({exchangeId, requestId}) => ({
      kind: 'operation' as const,
      exchangeId,
      operation: createForwardedOperation(requestId),
    })),
  fc.record({exchangeId: anyId, text: anyText}).map(({exchangeId, text}) => ({
    kind: 'statement' as const,
    exchangeId,
    transactionId: 1,
    statement: createForwardedStatement('r-1', {
      statement: {kind: 'write', text},
    }),
  })),
  anyId.map(transactionId => ({kind: 'abandon' as const, transactionId})),
  anyId.map(exchangeId => ({kind: 'cancel' as const, exchangeId})),
  fc.nat(9).map(pingId => ({kind: 'ping' as const, pingId})),
);

function encode(message: ForwardRequest | ForwardResponse): Buffer {
  return Buffer.from(encodeFrame(message) ?? []);
}

function createFrame(body: Uint8Array): Buffer {
  const frame = Buffer.alloc(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.set(body, HEADER_BYTES);
  return frame;
}

function flipBit(bytes: Buffer, index: number): Buffer {
  const flipped = Buffer.from(bytes);
  const bit = index % (bytes.length * 8);
  flipped[bit >> 3] = (flipped[bit >> 3] ?? 0) ^ (1 << (bit & 7));
  return flipped;
}

/** Valid frames, the same with a fault, and bytes of other sources. */
function createStreamParts(
  message: fc.Arbitrary<ForwardRequest | ForwardResponse>,
): fc.Arbitrary<Buffer> {
  const valid = message.map(encode);
  const truncated = fc
    .tuple(valid, fc.nat())
    .map(([frame, end]) => frame.subarray(0, end % frame.length));
  const flipped = fc
    .tuple(valid, fc.nat())
    .map(([frame, index]) => flipBit(frame, index));
  const changed = fc
    .tuple(message, fc.nat(), fc.jsonValue())
    .map(([sent, index, value]) => {
      const names = Object.keys(sent);
      const name = names[index % names.length] ?? 'kind';
      return createFrame(Buffer.from(JSON.stringify({...sent, [name]: value})));
    });
  return fc.oneof(
    {arbitrary: valid, weight: 18},
    truncated,
    flipped,
    changed,
    fc.json().map(text => createFrame(Buffer.from(text))),
    fc.uint8Array({maxLength: 30}).map(createFrame),
    fc.uint8Array({maxLength: 30}).map(bytes => Buffer.from(bytes)),
  );
}

/** The chunks of a stream, divided anywhere. */
function createChunks(
  message: fc.Arbitrary<ForwardRequest | ForwardResponse>,
): fc.Arbitrary<readonly Buffer[]> {
  return fc
    .tuple(
      fc.array(createStreamParts(message), {minLength: 1, maxLength: 8}),
      fc.array(fc.nat(3_000), {maxLength: 6}),
    )
    .map(([parts, cuts]) => {
      const bytes = Buffer.concat(parts);
      const chunks: Buffer[] = [];
      let start = 0;
      for (const cut of [...cuts].sort((left, right) => left - right)) {
        chunks.push(bytes.subarray(start, Math.max(start, cut)));
        start = Math.max(start, cut);
      }
      chunks.push(bytes.subarray(start));
      return chunks;
    });
}

/** Reads the values of a stream up to the first frame that is no JSON. */
function readValues(chunks: readonly Buffer[]): readonly object[] {
  const bytes = Buffer.concat(chunks);
  const decoder = new TextDecoder('utf-8', {fatal: true, ignoreBOM: true});
  const values: object[] = [];
  let start = 0;
  while (start + HEADER_BYTES <= bytes.length) {
    const length = bytes.readUInt32BE(start);
    const end = start + HEADER_BYTES + length;
    if (length === 0 || length > MAX_BODY_BYTES || end > bytes.length) {
      break;
    }
    try {
      const text = decoder.decode(bytes.subarray(start + HEADER_BYTES, end));
      values.push(Object(JSON.parse(text)));
    } catch {
      break;
    }
    start = end;
  }
  return values;
}

/** Whether a value of the stream has all the given fields. */
function isInStream(values: readonly object[], fields: object): boolean {
  return values.some(value => {
    const sent = Object.entries(fields).map(([name]) => [
      name,
      (value as Record<string, unknown>)[name],
    ]);
    return (
      JSON.stringify(sort(Object.fromEntries(sent))) ===
      JSON.stringify(sort(fields))
    );
  });
}

/** Sorts the fields of objects, so that equal values have equal texts. */
function sort(value: unknown): unknown {
  if (Array.isArray(value)) {
    return value.map(sort);
  }
  if (typeof value !== 'object' || value === null) {
    return value;
  }
  return Object.fromEntries(
    Object.entries(value)
      .map(([name, field]) => [name, sort(field)] as const)
      .sort(([left], [right]) => (left < right ? -1 : 1)),
  );
}

// Guards against an exception in an event of a socket, which ends the process,
// and against a caller who gets data that no holder has sent. What a fault turns
// into another valid message counts as sent: TCP detects such faults.
describe('a client stream', () => {
  it('survives any bytes and settles exchanges only with what was sent', async () => {
    let successes = 0;
    let closings = 0;
    await fc.assert(
      fc.asyncProperty(createChunks(anyResponse), async chunks => {
        const clock = VirtualClock.create();
        const [channel, holder] = FakeByteChannel.createPair({
          clock,
          delayMs: 0,
        });
        holder.start({
          handleData: () => {},
          handleDrain: () => {},
          handleClosed: () => {},
        });
        const closeReasons: string[] = [];
        const stream = ForwardClientStream.create(channel, {
          clock,
          handleClosed: reason => closeReasons.push(reason),
        });
        const results = new Map<number, ForwardResult>();
        for (let index = 0; index < EXCHANGES; index++) {
          const {exchangeId, result} = stream.sendOperation(
            createForwardedOperation('r-1'),
            TIMEOUT_MS,
          );
          result.then(
            settled => results.set(exchangeId, settled),
            () => {},
          );
        }
        for (const chunk of chunks) {
          channel.receive(chunk);
        }
        await settlePromises();
        closings += closeReasons.length;
        clock.advance(TIMEOUT_MS);
        await settlePromises();

        expect(results.size).toBe(EXCHANGES);
        expect(closeReasons.length).toBe(stream.isOpen ? 0 : 1);
        const values = readValues(chunks);
        for (const [exchangeId, result] of results) {
          if (result.ok) {
            successes++;
            const message = {kind: 'reply', exchangeId, ...result.value};
            expect(isInStream(values, message)).toBe(true);
          } else if (result.error.kind === 'declined') {
            const message = {exchangeId, ...result.error};
            expect(isInStream(values, message)).toBe(true);
          }
        }
      }),
      {numRuns: RUNS, seed: SEED},
    );
    // The property means little if hardly a stream gets so far.
    expect(successes).toBeGreaterThan(RUNS / 4);
    expect(closings).toBeGreaterThan(RUNS / 4);
  });
});

/** Records the requests and handles each one as the test says. */
class RecordingHandler implements ForwardRequestHandler {
  readonly requests: object[] = [];
  readonly exchangeIds = new Set<number>();
  closedCount = 0;

  constructor(private readonly outcome: 'reply' | 'declined' | 'fault') {}

  handleOperation(
    exchangeId: number,
    operation: object,
  ): Promise<HandledResult> {
    this.requests.push({kind: 'operation', exchangeId, operation});
    return this.handle(exchangeId);
  }

  handleStatement(
    transactionId: number,
    statement: object,
    exchangeId: number,
  ): Promise<HandledResult> {
    const kind = 'statement';
    this.requests.push({kind, exchangeId, transactionId, statement});
    return this.handle(exchangeId);
  }

  handleAbandon(transactionId: number): void {
    this.requests.push({kind: 'abandon', transactionId});
  }

  handleCancel(exchangeId: number): void {
    this.requests.push({kind: 'cancel', exchangeId});
  }

  handleClosed(): void {
    this.closedCount++;
  }

  private handle(exchangeId: number): Promise<HandledResult> {
    this.exchangeIds.add(exchangeId);
    switch (this.outcome) {
      case 'reply':
        return Promise.resolve(success(createForwardReply('row')));
      case 'declined':
        return Promise.resolve(failure('notServing'));
      case 'fault':
        return Promise.reject(new Error('broken'));
    }
  }
}

// Guards against an exception in an event of a socket, which ends the process,
// and against the execution of a statement that no follower has sent.
describe('a server stream', () => {
  it('survives any bytes and handles only what was sent', async () => {
    let handled = 0;
    let closings = 0;
    await fc.assert(
      fc.asyncProperty(
        createChunks(anyRequest),
        fc.constantFrom('reply', 'declined', 'fault'),
        async (chunks, outcome) => {
          const clock = VirtualClock.create();
          const [channel] = FakeByteChannel.createPair({clock, delayMs: 0});
          const handler = new RecordingHandler(outcome);
          const faults: string[] = [];
          const stream = ForwardServerStream.create(channel, {
            handler,
            handleInvalid: reason => faults.push(reason),
          });
          for (const chunk of chunks) {
            channel.receive(chunk);
            await settlePromises();
          }

          handled += handler.requests.length;
          closings += handler.closedCount;
          expect(handler.closedCount).toBe(stream.isOpen ? 0 : 1);
          expect(faults.length > 0).toBe(!stream.isOpen);
          const values = readValues(chunks);
          for (const request of handler.requests) {
            expect(isInStream(values, request)).toBe(true);
          }
          for (const response of readValues(channel.written.map(toBuffer))) {
            const {kind, exchangeId} = response as ForwardResponse & {
              exchangeId: number;
            };
            if (kind !== 'pong') {
              expect(kind).toBe(outcome);
              expect(handler.exchangeIds.has(exchangeId)).toBe(true);
            }
          }
        },
      ),
      {numRuns: RUNS, seed: SEED},
    );
    expect(handled).toBeGreaterThan(RUNS / 4);
    expect(closings).toBeGreaterThan(RUNS / 4);
  });
});

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes);
}
