import {BackendMessage} from '@filbertrun/wire/protocol_constants.js';

/**
 * What the answer to a batch of extended-protocol messages consists of. The
 * proxy adds messages that the caller did not send (a Parse that remakes a
 * prepared statement) and leaves out others (a Parse of a statement that the
 * connection already has); the plan says which frames of the answer to drop
 * and which to add, so the caller sees the answer to its own messages.
 */

/** One message of a batch, as far as its answer goes. @public */
export type AnswerStep =
  | {
      readonly kind: 'parse' | 'bind' | 'describe' | 'execute' | 'close';
      /** Whether the caller must not see the answer. */
      readonly isHidden: boolean;
      /** Called when the step succeeded. */
      readonly onComplete: (() => void) | null;
    }
  /** A message that the proxy answers itself. */
  | {readonly kind: 'injected'; readonly frame: Buffer};

/** Follows one answer through its steps. @public */
export class AnswerPlan {
  private readonly steps: AnswerStep[] = [];
  private cursor = 0;
  private hasFailed = false;

  private constructor() {}

  static create(): AnswerPlan {
    return new AnswerPlan();
  }

  add(step: AnswerStep): void {
    this.steps.push(step);
  }

  /** Whether every step that was added has been answered. */
  isDrained(): boolean {
    return this.hasFailed || this.cursor >= this.steps.length;
  }

  /** Takes the next frame that the proxy itself adds, if one is due. */
  takeInjected(): Buffer | null {
    const step = this.steps[this.cursor];
    if (this.hasFailed || step?.kind !== 'injected') {
      return null;
    }
    this.cursor++;
    return step.frame;
  }

  /** Advances by one frame of the answer; whether the caller gets the frame. */
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
    return !step.isHidden || isUnrelated(type);
  }
}

function isLastFrameOf(
  kind: Exclude<AnswerStep['kind'], 'injected'>,
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

/** Whether a frame can come at any place of an answer. */
function isUnrelated(type: number): boolean {
  return (
    type === BackendMessage.noticeResponse ||
    type === BackendMessage.parameterStatus
  );
}
