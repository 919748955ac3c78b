import type {Socket} from 'node:net';
import type {Clock} from '@filbertrun/base/clock.js';
import {DelayQueue} from './delay_queue.js';

/** Network conditions that a socket simulates. @internal */
export interface SocketConditions {
  /** Whether received bytes are delivered now. */
  canReceive(): boolean;
  /** Whether written bytes are sent now. */
  canSend(): boolean;
  /** Delay of received bytes; it simulates the whole round trip. */
  getReceiveDelayMs(): number;
  /** Delay of sent bytes. */
  getSendDelayMs(): number;
}

/** Receives the data and events of a socket. @internal */
export interface SocketListener {
  handleData(chunk: Buffer): void;
  handleDrained(): void;
  handleClosed(): void;
}

/**
 * A socket that simulates a slow or partitioned network. During a partition,
 * bytes are held back, as TCP retransmits them after a real partition; the end
 * of the connection is held back too.
 *
 * @internal
 */
export class FaultInjectingSocket {
  private readonly received: DelayQueue;
  private readonly sent: DelayQueue;
  private heldBytes: Buffer[] = [];
  private isEndRequested = false;
  private hasEnded = false;

  private constructor(
    private readonly socket: Socket,
    private readonly conditions: SocketConditions,
    private readonly listener: SocketListener,
    clock: Clock,
  ) {
    this.received = DelayQueue.create(clock);
    this.sent = DelayQueue.create(clock);
    socket.setNoDelay(true);
    socket.on('data', chunk => this.handleData(chunk));
    socket.on('drain', () => listener.handleDrained());
    // Node always emits `close` after an error.
    socket.on('error', () => {});
    socket.on('end', () => this.handleEnd());
    socket.on('close', () => this.handleEnd());
    this.update();
  }

  static create(
    socket: Socket,
    conditions: SocketConditions,
    listener: SocketListener,
    clock: Clock,
  ): FaultInjectingSocket {
    return new FaultInjectingSocket(socket, conditions, listener, clock);
  }

  /** Applies the conditions after they have changed. */
  update(): void {
    if (this.conditions.canReceive()) {
      this.socket.resume();
    } else {
      this.socket.pause();
    }
    this.sendHeld();
  }

  /** Sends bytes; false if the sender should wait for `handleDrained`. */
  write(bytes: Buffer): boolean {
    const delayMs = this.conditions.getSendDelayMs();
    this.sent.add(delayMs, () => this.writeNow(bytes));
    return !this.socket.writableNeedDrain && this.heldBytes.length === 0;
  }

  /** Closes the connection after all written bytes were sent. */
  end(): void {
    this.sent.add(this.conditions.getSendDelayMs(), () => {
      this.isEndRequested = true;
      this.sendHeld();
    });
  }

  destroy(): void {
    this.received.dispose();
    this.sent.dispose();
    this.socket.destroy();
  }

  private handleData(chunk: Buffer): void {
    this.received.add(this.conditions.getReceiveDelayMs(), () =>
      this.listener.handleData(chunk),
    );
  }

  private handleEnd(): void {
    if (this.hasEnded) {
      return;
    }
    this.hasEnded = true;
    this.received.add(0, () => {
      this.listener.handleClosed();
      this.end();
    });
  }

  private writeNow(bytes: Buffer): void {
    if (this.conditions.canSend() && this.heldBytes.length === 0) {
      this.writeToSocket(bytes);
      return;
    }
    this.heldBytes.push(bytes);
  }

  private sendHeld(): void {
    if (!this.conditions.canSend()) {
      return;
    }
    const bytesToSend = this.heldBytes;
    this.heldBytes = [];
    for (const bytes of bytesToSend) {
      this.writeToSocket(bytes);
    }
    if (this.isEndRequested && this.socket.writable) {
      this.socket.end();
    }
    if (bytesToSend.length > 0 && !this.socket.writableNeedDrain) {
      this.listener.handleDrained();
    }
  }

  private writeToSocket(bytes: Buffer): void {
    if (this.socket.writable) {
      this.socket.write(bytes);
    }
  }
}
