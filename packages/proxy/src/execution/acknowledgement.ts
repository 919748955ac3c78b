import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {SessionTokenCodec} from '@filbertrun/session/session_token_codec.js';
import {buildParameterStatus} from '@filbertrun/wire/backend_message_builder.js';
import type {ResponseRelay} from './response_relay.js';
import type {StatementContext} from './statement_context.js';

/** Run-time parameter that carries the session token. @public */
export const SESSION_TOKEN_PARAMETER = 'filbertrun.session_token';

/**
 * Acknowledges writes: waits until a majority of the group's instances holds
 * the commit, raises the floor of the session (the lowest log position that its
 * reads must cover) and sends the new session token before the response.
 *
 * @public
 */
export class WriteAcknowledger {
  private constructor(private readonly codec: SessionTokenCodec) {}

  static create(codec: SessionTokenCodec): WriteAcknowledger {
    return new WriteAcknowledger(codec);
  }

  /**
   * Waits until a majority holds `position`. Returns false if that is not
   * confirmed before the deadline of the statement.
   */
  async waitForMajority(
    context: StatementContext,
    position: LogPosition,
  ): Promise<boolean> {
    const replicated = await context.group.state.waitForMajority(
      position,
      context.deadlineMs,
    );
    return replicated.ok;
  }

  /**
   * Sends the session token and the buffered part of the response of an
   * acknowledged write.
   */
  acknowledge(
    context: StatementContext,
    position: LogPosition,
    relay: ResponseRelay,
  ): void {
    this.sendSessionToken(context, position);
    relay.stopBuffering();
  }

  /**
   * Raises the floor of the session and sends the new session token to the
   * caller. Sends nothing if the floor does not rise.
   */
  sendSessionToken(context: StatementContext, position: LogPosition): void {
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
