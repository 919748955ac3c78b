import type {GatewayEvent} from './gateway_event.js';

/** Records the events of the gateway. @public */
export interface GatewayEvents {
  record(event: GatewayEvent): void;
}

/** Stores events in memory, for tests. @public */
export class RecordedEvents implements GatewayEvents {
  readonly events: GatewayEvent[] = [];

  private constructor() {}

  static create(): RecordedEvents {
    return new RecordedEvents();
  }

  record(event: GatewayEvent): void {
    this.events.push(event);
  }
}
