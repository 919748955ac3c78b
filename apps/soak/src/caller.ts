import type {RandomSource} from '@filbertrun/base/random_source.js';
import {formatRead, formatWrite, PROMISE_CODES} from './caller_codec.js';
import {CallerSession} from './caller_session.js';
import type {AcknowledgedWrite, Ledger} from './ledger.js';
import {pause} from './pause.js';
import type {Trace} from './trace.js';

/** Options of a caller. @internal */
export interface CallerOptions {
  readonly name: string;
  readonly database: string;
  readonly databaseGroup: string;
  /** Whether a read must see the writes of all callers, or only its own. */
  readonly isStrict: boolean;
  readonly entryVm: string;
  readonly port: number;
  readonly ledger: Ledger;
  readonly trace: Trace;
  readonly random: RandomSource;
  /** Whether the proxy was frozen or cut off shortly before now. */
  isHeldUp(): boolean;
}

const MIN_PAUSE_MS = 30;
const MAX_PAUSE_MS = 90;
const RECONNECT_MS = 60;

/** Every so many statements is a read. */
const READ_EVERY = 5;

/**
 * Writes all the time in one session after the other. Each session has an item
 * of its own, so a write in doubt is never followed by a later one to its item.
 *
 * @internal
 */
export class Caller {
  private isStopped = false;
  private sessionCount = 0;
  private statementCount = 0;
  private session: CallerSession | null = null;

  private constructor(private readonly options: CallerOptions) {}

  static create(options: CallerOptions): Caller {
    return new Caller(options);
  }

  /** Runs until it is stopped. */
  async run(): Promise<void> {
    const {port, database, name, ledger} = this.options;
    while (!this.isStopped) {
      this.session = await CallerSession.open(port, database, name);
      const item = `${name}s${++this.sessionCount}`;
      if (this.session !== null) {
        await this.use(this.session, item);
        this.session.close();
      }
      ledger.retire(item);
      await pause(RECONNECT_MS);
    }
  }

  stop(): void {
    this.isStopped = true;
    this.session?.close();
  }

  private async use(session: CallerSession, item: string): Promise<void> {
    let own: AcknowledgedWrite | null = null;
    while (session.isOpen && !this.isStopped) {
      const number = ++this.statementCount;
      if (number % READ_EVERY === 0) {
        await this.read(session, own);
      } else {
        own = (await this.write(session, item, number)) ?? own;
      }
      const {random} = this.options;
      await pause(random.nextInteger(MIN_PAUSE_MS, MAX_PAUSE_MS));
    }
  }

  private async write(
    session: CallerSession,
    item: string,
    value: number,
  ): Promise<AcknowledgedWrite | null> {
    const {name, ledger, entryVm, databaseGroup, trace} = this.options;
    const statementId = `${name}w${value}`;
    const answer = await session.exchange(
      formatWrite(statementId, item, value),
    );
    if (answer.kind === 'error' && PROMISE_CODES.has(answer.code)) {
      ledger.recordRefused(statementId, answer.code);
    }
    if (answer.kind === 'error' && !PROMISE_CODES.has(answer.code)) {
      // The outcome is unknown, so the item is not written again.
      session.close();
    }
    if (answer.kind !== 'complete') {
      return null;
    }
    const write = {
      statementId,
      databaseGroup,
      item,
      value,
      entryVm,
      atMs: trace.nowMs(),
      isHeldUp: this.options.isHeldUp(),
    };
    ledger.recordAcknowledged(write);
    return write;
  }

  /** Reads an item that a strict or own read must see. */
  private async read(
    session: CallerSession,
    own: AcknowledgedWrite | null,
  ): Promise<void> {
    const {isStrict, ledger, random, name, entryVm, databaseGroup, trace} =
      this.options;
    const known = isStrict ? ledger.listNewest(databaseGroup) : [];
    const required = isStrict
      ? known[random.nextInteger(0, Math.max(0, known.length - 1))]
      : own;
    if (required === undefined || required === null) {
      return;
    }
    const sentAtMs = trace.nowMs();
    const readId = `${name}r${this.statementCount}`;
    const answer = await session.exchange(formatRead(readId, required.item));
    if (answer.kind !== 'complete') {
      return;
    }
    const {rowText} = answer;
    const seen = rowText === null || rowText === '-' ? 0 : Number(rowText);
    if (seen < required.value) {
      ledger.recordSuspect(
        required,
        `${readId} at ${entryVm}, sent at ${(sentAtMs / 1_000).toFixed(3)}, read ${seen}; ${required.statementId} was acknowledged at ${(required.atMs / 1_000).toFixed(3)} by ${required.entryVm}`,
      );
    }
  }
}
