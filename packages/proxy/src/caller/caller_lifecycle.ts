import {createMachine, initialTransition, transition} from 'xstate';

/**
 * State machine for the lifecycle of a caller's connection. Statements cause
 * no transition, which keeps them cheap.
 */

/** Event of a caller's connection. @public */
export type CallerEvent =
  | {readonly type: 'encryptionRequested'}
  | {readonly type: 'startupReceived'}
  | {readonly type: 'authenticated'}
  | {readonly type: 'stopRequested'}
  | {readonly type: 'closed'};

/** Lifecycle phase of a caller's connection. @public */
export type CallerPhase =
  'awaitingStartup' | 'authenticating' | 'serving' | 'stopping' | 'closed';

const machine = createMachine({
  types: {} as {events: CallerEvent},
  id: 'caller',
  initial: 'awaitingStartup',
  on: {closed: {target: '.closed'}},
  states: {
    awaitingStartup: {
      on: {
        encryptionRequested: {target: 'awaitingStartup'},
        startupReceived: {target: 'authenticating'},
        stopRequested: {target: 'stopping'},
      },
    },
    authenticating: {
      on: {
        authenticated: {target: 'serving'},
        stopRequested: {target: 'stopping'},
      },
    },
    serving: {on: {stopRequested: {target: 'stopping'}}},
    stopping: {},
    closed: {type: 'final'},
  },
});

const [INITIAL_SNAPSHOT] = initialTransition(machine);

/** Tracks the lifecycle phase of one connection. @public */
export class CallerLifecycle {
  private snapshot = INITIAL_SNAPSHOT;

  private constructor() {}

  static create(): CallerLifecycle {
    return new CallerLifecycle();
  }

  get phase(): CallerPhase {
    return this.snapshot.value as CallerPhase;
  }

  send(event: CallerEvent): void {
    [this.snapshot] = transition(machine, this.snapshot, event);
  }
}
