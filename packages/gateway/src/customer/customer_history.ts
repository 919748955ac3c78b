import {SeededRandom} from '@filbertrun/base/random_source.js';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import type {GatewayContext} from '../session/gateway_context.js';
import {CallerSession} from '../session/caller_session.js';
import type {CallerStatement} from '../statement/caller_statement.js';
import type {StatementReply} from '../statement/statement_answer.js';
import {SessionTestHarness} from '../testing/session_test_harness.js';
import {digestApiKey} from './api_key_digest.js';
import {CustomerDirectory} from './customer_directory.js';

/** Random histories of sessions whose keys are added, moved and withdrawn. */

const KEYS = ['k1', 'k2', 'k3'] as const;
const CUSTOMERS = ['studio', 'agency'] as const;
const STEPS = 60;

/** Changes what the sessions see of the gateway, to break a rule. @internal */
export type ContextMutation = (
  context: GatewayContext,
  harness: SessionTestHarness,
) => GatewayContext;

/** A broken rule. @internal */
export interface CustomerViolation {
  readonly rule:
    | 'runForOtherCustomer'
    | 'runWithoutKey'
    | 'committedWithoutKey'
    | 'deniedWithKey'
    | 'deniedWithoutConfiguration';
  readonly detail: string;
}

interface OpenSession {
  readonly key: string;
  readonly session: CallerSession;
}

/** A history of one harness; the keys' holders are the oracle's. @internal */
export class CustomerHistory {
  readonly violations: CustomerViolation[] = [];
  private readonly harness = SessionTestHarness.create();
  private readonly random: SeededRandom;
  private readonly context: GatewayContext;
  /** Customer that holds each key; absent keys are unknown. */
  private readonly holders = new Map<string, string>();
  private sessions: OpenSession[] = [];
  private hasConfiguration = true;

  private constructor(seed: number, mutate: ContextMutation) {
    this.random = SeededRandom.create(seed);
    this.harness.grantLease();
    this.context = mutate(this.createContext(), this.harness);
  }

  /** Runs a history and returns the broken rules. */
  static async run(
    seed: number,
    mutate: ContextMutation = context => context,
  ): Promise<readonly CustomerViolation[]> {
    const history = new CustomerHistory(seed, mutate);
    history.changeKey();
    for (let step = 0; step < STEPS; step++) {
      await history.step();
    }
    return history.violations;
  }

  private createContext(): GatewayContext {
    const {harness} = this;
    return {
      clock: harness.clock,
      events: harness.events,
      availabilityZone: harness.availabilityZone,
      sharedIdentity: harness.sharedIdentity,
      limiter: harness.limiter,
      operations: harness.operations,
      getConfiguration: (): ServiceConfiguration | null =>
        this.hasConfiguration ? harness.getConfiguration() : null,
      getConfigurationAgeMs: () => null,
      isConfigurationCurrent: () => this.hasConfiguration,
      getGroup: () => harness.getGroup(),
      requestFreshnessBound: () => Promise.resolve(),
    };
  }

  private async step(): Promise<void> {
    const choice = this.random.nextInteger(0, 9);
    if (choice <= 1) {
      this.changeKey();
    } else if (choice <= 3 || this.sessions.length === 0) {
      this.open();
    } else if (choice === 4) {
      this.checkDenialWithoutConfiguration();
    } else {
      await this.runStatement();
    }
  }

  /** Gives a key to a customer or withdraws it. */
  private changeKey(): void {
    const key = KEYS[this.random.nextInteger(0, KEYS.length - 1)] ?? 'k1';
    const customer = CUSTOMERS[this.random.nextInteger(0, CUSTOMERS.length)];
    if (customer === undefined) {
      this.holders.delete(key);
    } else {
      this.holders.set(key, customer);
    }
    this.harness.customers = CustomerDirectory.create(
      CUSTOMERS.map(name => ({
        name,
        keyDigests: KEYS.filter(known => this.holders.get(known) === name).map(
          digestApiKey,
        ),
        limit: null,
      })),
    );
  }

  private open(): void {
    const key = KEYS[this.random.nextInteger(0, KEYS.length - 1)] ?? 'k1';
    const opened = CallerSession.open(this.context, {
      databaseName: 'strict',
      apiKey: key,
    });
    if (opened.ok) {
      this.sessions.push({key, session: opened.value});
    } else if (this.holders.has(key)) {
      this.record('deniedWithKey', `the session of ${key}`);
    }
  }

  /** A proxy without a configuration must not tell callers that they are denied. */
  private checkDenialWithoutConfiguration(): void {
    this.hasConfiguration = false;
    const opened = CallerSession.open(this.context, {
      databaseName: 'strict',
      apiKey: 'k1',
    });
    this.hasConfiguration = true;
    if (!opened.ok && opened.error.kind === 'accessDenied') {
      this.record('deniedWithoutConfiguration', 'a new session');
    }
  }

  private async runStatement(): Promise<void> {
    const index = this.random.nextInteger(0, this.sessions.length - 1);
    const open = this.sessions[index];
    if (open === undefined) {
      return;
    }
    const {key, session} = open;
    const {backend} = this.harness;
    const runsBefore = backend.runs.length;
    const commitsBefore = backend.committedWrites.length;
    const reply = await this.harness.run(session, this.choose(session));
    const holder = this.holders.get(key) ?? null;
    for (const {identity, text} of backend.runs.slice(runsBefore)) {
      if (text === 'rollback') {
        continue;
      }
      if (holder === null) {
        this.record('runWithoutKey', `${text} of ${key}`);
      } else if (identity !== holder) {
        this.record('runForOtherCustomer', `${text} of ${key} as ${identity}`);
      }
    }
    if (holder === null && backend.committedWrites.length > commitsBefore) {
      this.record('committedWithoutKey', key);
    }
    if (holder !== null && isDenied(reply)) {
      this.record('deniedWithKey', `a statement of ${key}`);
    }
    if (reply.transactionState === 'failed') {
      session.close();
      this.sessions = this.sessions.filter(other => other !== open);
    }
  }

  private choose(session: CallerSession): CallerStatement {
    const isOpen = session.transactionState === 'open';
    switch (this.random.nextInteger(0, 3)) {
      case 0:
        return isOpen ? {kind: 'commit'} : {kind: 'begin', isReadOnly: false};
      case 1:
        return {kind: 'write', text: 'WRITE 1 x'};
      case 2:
        return isOpen ? {kind: 'rollback'} : {kind: 'read', text: 'READ 1'};
      default:
        return {kind: 'read', text: 'READ 1'};
    }
  }

  private record(rule: CustomerViolation['rule'], detail: string): void {
    this.violations.push({rule, detail});
  }
}

function isDenied({result}: StatementReply): boolean {
  return result.kind === 'error' && result.error.kind === 'accessDenied';
}
