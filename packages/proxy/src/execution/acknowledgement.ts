import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {SessionTokenCodec} from '@filbertrun/session/session_token_codec.js';
import {buildParameterStatus} from '@filbertrun/wire/backend_message_builder.js';
import type {AnswerRelay} from './answer_relay.js';
import type {StatementContext} from './statement_context.js';

/** Run-time parameter that carries the session token. @public */
export const SESSION_TOKEN_PARAMETER = 'filbertrun.session_token';

/**
 * Acknowledges writes: waits until a majority of the group holds the commit,
 * raises the session's floor and sends the new token before the answer.
 *
 * @public
 */
export class WriteAcknowledger {
  private constructor(private readonly codec: SessionTokenCodec) {}

  static create(codec: SessionTokenCodec): WriteAcknowledger {
    return new WriteAcknowledger(codec);
  }

  /** Whether a majority holds `position` before the statement's deadline. */
  async isHeldByMajority(
    context: StatementContext,
    position: LogPosition,
  ): Promise<boolean> {
    const held = await context.group.view.waitForMajority(
      position,
      context.deadlineMs,
    );
    return held.ok;
  }

  /** Sends what was held back of an acknowledged write. */
  acknowledge(
    context: StatementContext,
    position: LogPosition,
    relay: AnswerRelay,
  ): void {
    this.announce(context, position);
    relay.stopHolding();
  }

  /** Raises the floor and tells the caller its new token. */
  announce(context: StatementContext, position: LogPosition): void {
    if (!context.session.raiseFloor(position)) {
      return;
    }
    const token = this.codec.encode(context.session.getFloors());
    if (token.ok) {
      context.output.write(
        buildParameterStatus(SESSION_TOKEN_PARAMETER, token.value),
      );
    }
  }
}
