import type {GatewayEvent} from './gateway_event.js';

/** Records the events of the gateway. @public */
export interface GatewayEventRecorder {
  record(event: GatewayEvent): void;
}

/** Stores events in memory, for tests. @public */
export class InMemoryEventRecorder implements GatewayEventRecorder {
  readonly events: GatewayEvent[] = [];

  private constructor() {}

  static create(): InMemoryEventRecorder {
    return new InMemoryEventRecorder();
  }

  record(event: GatewayEvent): void {
    this.events.push(event);
  }
}
