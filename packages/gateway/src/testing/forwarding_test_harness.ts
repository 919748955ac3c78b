import {failure, success} from '@filbertrun/base/result.js';
import {sleep} from '@filbertrun/base/sleep.js';
import type {ForwardConnector} from '../forwarding/forward_streams.js';
import {Forwarding} from '../forwarding/forwarding.js';
import type {DeclineReason} from '../forwarding/forward_message.js';
import {CallerSession} from '../session/caller_session.js';
import type {GatewayContext} from '../session/gateway_context.js';
import type {CallerStatement} from '../statement/caller_statement.js';
import type {StatementReply} from '../statement/statement_answer.js';
import {createEntryVmRecord} from './create_entry_vm_record.js';
import {FakeByteChannel} from './fake_byte_channel.js';
import {SessionTestHarness, type HarnessRoute} from './session_test_harness.js';

/** One-way latency inside an availability zone. */
const DELAY_MS = 1;

const FORWARD_PORT = 1;

/** Entry VM of the follower, which is ranked behind all holders here. */
const FOLLOWER = 'follower';

/** A holder of the harness, as its followers reach it. @internal */
export interface HarnessHolder {
  readonly entryVm: string;
  readonly forwarding: Forwarding;
  /** Ends at the follower and at the holder, of each stream. */
  readonly channels: {
    readonly follower: FakeByteChannel;
    readonly holder: FakeByteChannel;
  }[];
  isReachable: boolean;
  declineReason: DeclineReason | null;
}

/**
 * A follower and its holders before the same fake database group. Connections of
 * all of them are those of one group runtime; what differs is the path of a
 * statement.
 *
 * @internal
 */
export class ForwardingTestHarness {
  readonly sessions = SessionTestHarness.create();
  readonly holders: readonly HarnessHolder[];
  readonly follower: Forwarding;
  /** Duration of a connection attempt to a holder. */
  connectTimeMs = 0;
  private readonly context: GatewayContext;

  private constructor(holderCount: number) {
    this.sessions.grantLease();
    this.sessions.group.setSharedAccess(true);
    const created: HarnessHolder[] = [];
    for (let index = 0; index < holderCount; index++) {
      created.push(this.createHolder(`holder-${index}`));
    }
    this.follower = this.createForwarding(FOLLOWER, {
      connect: async ({entryVm}) => {
        if (this.connectTimeMs > 0) {
          await sleep(this.sessions.clock, this.connectTimeMs);
        }
        return this.connect(entryVm);
      },
    });
    const records = created.map(({entryVm}) =>
      createEntryVmRecord(entryVm, 'zone-a', {forwardPort: FORWARD_PORT}),
    );
    this.follower.updateHolders(records);
    this.holders = created;
    const {sessions} = this;
    this.context = {
      clock: sessions.clock,
      events: sessions.events,
      availabilityZone: sessions.availabilityZone,
      sharedIdentity: FOLLOWER,
      limiter: sessions.limiter,
      operations: this.follower.executor,
      getConfiguration: () => sessions.getConfiguration(),
      getConfigurationAgeMs: () => null,
      isConfigurationCurrent: () => true,
      getGroup: () => sessions.getGroup(),
      requestFreshnessBound: () => Promise.resolve(),
    };
  }

  static create(holderCount = 2): ForwardingTestHarness {
    return new ForwardingTestHarness(holderCount);
  }

  /** The holders in the order in which the follower asks them. */
  get ranked(): readonly HarnessHolder[] {
    const order = this.follower.rankHolders(this.sessions.group.databaseGroup);
    const ranked: HarnessHolder[] = [];
    for (const {entryVm} of order) {
      const holder = this.holders.find(other => other.entryVm === entryVm);
      if (holder !== undefined) {
        ranked.push(holder);
      }
    }
    return ranked;
  }

  /** Opens a session of a caller at the follower. */
  open(route: HarnessRoute, apiKey = ''): CallerSession {
    const opened = CallerSession.open(this.context, {
      databaseName: route,
      apiKey,
    });
    if (!opened.ok) {
      throw new Error(`The session was refused: ${opened.error.kind}.`);
    }
    return opened.value;
  }

  run(
    session: CallerSession,
    statement: CallerStatement,
    requestId?: string,
  ): Promise<StatementReply> {
    return this.sessions.run(session, statement, requestId);
  }

  /** Returns the holders to which operations were sent, in order. */
  listForwarded(): readonly string[] {
    const holders: string[] = [];
    for (const event of this.sessions.events.events) {
      if (event.kind === 'statementForwarded') {
        holders.push(event.holder);
      }
    }
    return holders;
  }

  private createHolder(entryVm: string): HarnessHolder {
    const holder: HarnessHolder = {
      entryVm,
      forwarding: this.createForwarding(
        entryVm,
        null,
        () => holder.declineReason,
      ),
      channels: [],
      isReachable: true,
      declineReason: null,
    };
    return holder;
  }

  private createForwarding(
    entryVm: string,
    connector: ForwardConnector | null,
    findDeclineReason: () => DeclineReason | null = () => null,
  ): Forwarding {
    const {sessions} = this;
    return Forwarding.create({
      self: {
        entryVm,
        availabilityZone: 'zone-a',
        peerHost: entryVm,
        peerPort: 1,
        incarnation: 'one',
      },
      clock: sessions.clock,
      events: sessions.events,
      gateway: sessions,
      connector,
      findDeclineReason,
      handleHolderChanged: () => {},
    });
  }

  private connect(entryVm: string) {
    const holder = this.holders.find(other => other.entryVm === entryVm);
    if (holder?.isReachable !== true) {
      return failure('unreachable');
    }
    const [follower, atHolder] = FakeByteChannel.createPair({
      clock: this.sessions.clock,
      delayMs: DELAY_MS,
    });
    holder.channels.push({follower, holder: atHolder});
    holder.forwarding.accept(atHolder);
    return success(follower);
  }
}
