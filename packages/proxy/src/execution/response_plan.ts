import {BackendMessage} from '@filbertrun/wire/protocol_constants.js';

/**
 * Plan of the response to a batch of extended-protocol messages. The proxy adds
 * messages that the caller did not send (a Parse that recreates a prepared
 * statement) and omits others (a Parse of a statement that the connection
 * already has). The plan lists the response frames to drop and those to add, so
 * that the caller receives the responses to its own messages.
 */

/** Expected response to one message of a batch. @public */
export type ResponseStep =
  | {
      readonly kind: 'parse' | 'bind' | 'describe' | 'execute' | 'close';
      /** Whether the response is withheld from the caller. */
      readonly isHidden: boolean;
      /** Called when the step has succeeded. */
      readonly onComplete: (() => void) | null;
    }
  /** Response of the proxy itself to a message that it does not forward. */
  | {readonly kind: 'injected'; readonly frame: Buffer};

/** Tracks one response through the steps of its plan. @public */
export class ResponsePlan {
  private readonly steps: ResponseStep[] = [];
  private cursor = 0;
  private hasFailed = false;

  private constructor() {}

  static create(): ResponsePlan {
    return new ResponsePlan();
  }

  add(step: ResponseStep): void {
    this.steps.push(step);
  }

  /** Whether all steps have been answered, or the batch has failed. */
  isDrained(): boolean {
    return this.hasFailed || this.cursor >= this.steps.length;
  }

  /**
   * Returns the frame of the current step and advances if the step is injected,
   * otherwise returns null.
   */
  takeInjected(): Buffer | null {
    const step = this.steps[this.cursor];
    if (this.hasFailed || step?.kind !== 'injected') {
      return null;
    }
    this.cursor++;
    return step.frame;
  }

  /**
   * Advances by one frame of the response. Returns whether the frame is sent to
   * the caller.
   */
  acceptFrame(type: number): boolean {
    if (type === BackendMessage.errorResponse) {
      // The backend server skips the rest of the batch, up to Sync.
      this.hasFailed = true;
      return true;
    }
    const step = this.steps[this.cursor];
    if (this.hasFailed || step === undefined || step.kind === 'injected') {
      return true;
    }
    if (isLastFrameOf(step.kind, type)) {
      this.cursor++;
      step.onComplete?.();
    }
    return !step.isHidden || isAsynchronous(type);
  }
}

function isLastFrameOf(
  kind: Exclude<ResponseStep['kind'], 'injected'>,
  type: number,
): boolean {
  switch (kind) {
    case 'parse':
      return type === BackendMessage.parseComplete;
    case 'bind':
      return type === BackendMessage.bindComplete;
    case 'describe':
      return (
        type === BackendMessage.rowDescription || type === BackendMessage.noData
      );
    case 'execute':
      return (
        type === BackendMessage.commandComplete ||
        type === BackendMessage.portalSuspended ||
        type === BackendMessage.emptyQueryResponse
      );
    case 'close':
      return type === BackendMessage.closeComplete;
  }
}

/** Whether a frame is asynchronous: it may occur anywhere in a response. */
function isAsynchronous(type: number): boolean {
  return (
    type === BackendMessage.noticeResponse ||
    type === BackendMessage.parameterStatus
  );
}
