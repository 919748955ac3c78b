import type {Clock} from '@filbertrun/base/clock.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {InstanceStatus} from '../backend/instance_control.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {OrderSource} from '../observability/promotion_event.js';
import {describeChoice, type ChoiceInputs} from './describe_choice.js';

/** Options of a {@link PromotionLog}. @public */
export interface PromotionLogOptions {
  readonly clock: Clock;
  readonly events: GatewayEventRecorder;
  /** Time since this process first saw the record the change began with. */
  readonly recordAgeMs: number;
}

/** Fields that identify a change in the log. @public */
export interface LoggedChange {
  readonly databaseGroup: string;
  readonly changeId: string;
  readonly oldPrimary: string;
  readonly oldTerm: number;
  /** Target that the record named when this process read it. */
  readonly target: string | null;
}

/** The last order of this process. */
interface LoggedOrder {
  readonly target: string;
  readonly choiceAtMs: number | null;
  readonly calledAtMs: number;
  sentAtMs: number | null;
}

/** Inputs of a choice that the log does not hold itself. @public */
export type LoggedChoice = Omit<
  ChoiceInputs,
  Exclude<keyof LoggedChange, 'target'> | 'recordAgeMs' | 'changeAgeMs'
>;

/**
 * Logs the choice of a promotion target, the order and its effect, with the
 * times between them. One log belongs to one run of a change.
 *
 * @public
 */
export class PromotionLog {
  private readonly createdAtMs: number;
  private choiceAtMs: number | null = null;
  private order: LoggedOrder | null = null;

  private constructor(private readonly options: PromotionLogOptions) {
    this.createdAtMs = options.clock.nowMs();
  }

  static create(options: PromotionLogOptions): PromotionLog {
    return new PromotionLog(options);
  }

  recordChoice(
    {databaseGroup, changeId, oldPrimary, oldTerm}: LoggedChange,
    choice: LoggedChoice,
  ): void {
    this.choiceAtMs = this.nowMs;
    this.options.events.record(
      describeChoice({
        databaseGroup,
        changeId,
        oldPrimary,
        oldTerm,
        ...choice,
        recordAgeMs: this.recordAgeMs,
        changeAgeMs: this.nowMs - this.createdAtMs,
      }),
    );
  }

  /** Records that the platform is called to promote the target. */
  recordOrdered(
    {databaseGroup, changeId}: LoggedChange,
    target: string,
    position: LogPosition,
    fencingToken: number,
  ): void {
    const {choiceAtMs, nowMs} = this;
    this.order = {target, choiceAtMs, calledAtMs: nowMs, sentAtMs: null};
    this.options.events.record({
      kind: 'promotionOrdered',
      databaseGroup,
      changeId,
      target,
      position,
      fencingToken,
      choiceAgeMs: choiceAtMs === null ? null : nowMs - choiceAtMs,
    });
  }

  /** Records that the first byte of the order may leave the process now. */
  recordSent(): void {
    if (this.order !== null) {
      this.order.sentAtMs = this.nowMs;
    }
  }

  recordAnswered(
    {databaseGroup, changeId}: LoggedChange,
    target: string,
    outcome: string,
  ): void {
    const calledAtMs = this.order?.calledAtMs ?? this.nowMs;
    const sentAtMs = this.order?.sentAtMs ?? null;
    this.options.events.record({
      kind: 'promotionAnswered',
      databaseGroup,
      changeId,
      target,
      outcome,
      durationMs: this.nowMs - calledAtMs,
      sentAfterMs: sentAtMs === null ? null : sentAtMs - calledAtMs,
    });
  }

  /** Records that an instance reports to be the new primary. */
  recordSeen(
    change: LoggedChange,
    target: string,
    status: InstanceStatus | null,
  ): void {
    if (status === null) {
      return;
    }
    const order = this.order?.target === target ? this.order : null;
    const choiceAtMs = order?.choiceAtMs ?? null;
    this.options.events.record({
      kind: 'promotionSeen',
      databaseGroup: change.databaseGroup,
      changeId: change.changeId,
      target,
      term: status.term,
      receivedPosition: status.receivedPosition,
      orderedBy: findOrderSource(order, change, target),
      sinceOrderMs: order === null ? null : this.nowMs - order.calledAtMs,
      sinceChoiceMs: choiceAtMs === null ? null : this.nowMs - choiceAtMs,
      recordAgeMs: this.recordAgeMs,
    });
  }

  private get nowMs(): number {
    return this.options.clock.nowMs();
  }

  private get recordAgeMs(): number {
    return this.options.recordAgeMs + (this.nowMs - this.createdAtMs);
  }
}

function findOrderSource(
  order: LoggedOrder | null,
  change: LoggedChange,
  target: string,
): OrderSource {
  if (order !== null) {
    return 'thisLeader';
  }
  return change.target === target ? 'earlierLeader' : 'unknown';
}
