import {LRUCache} from 'lru-cache';
import type {GatewayEvent} from './gateway_event.js';

/** Maximum number of requests whose events are kept. */
const MAX_REQUESTS = 1_000;

/** Maximum number of events kept of one request. */
const MAX_EVENTS = 8;

/**
 * Success events of recent requests that the line budget kept out of the log.
 * If a request fails later, its whole event history can be written.
 *
 * @public
 */
export class RecentEvents {
  private readonly byRequest = new LRUCache<string, GatewayEvent[]>({
    max: MAX_REQUESTS,
  });

  private constructor() {}

  static create(): RecentEvents {
    return new RecentEvents();
  }

  add(requestId: string, event: GatewayEvent): void {
    const events = this.byRequest.get(requestId) ?? [];
    if (events.length < MAX_EVENTS) {
      events.push(event);
    }
    this.byRequest.set(requestId, events);
  }

  /** Removes and returns the events of a request. */
  take(requestId: string): readonly GatewayEvent[] {
    const events = this.byRequest.get(requestId) ?? [];
    this.byRequest.delete(requestId);
    return events;
  }
}
