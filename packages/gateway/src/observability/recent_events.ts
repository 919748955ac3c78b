import {LRUCache} from 'lru-cache';
import type {GatewayEvent} from './gateway_event.js';

/** Requests whose unwritten events are kept. */
const MAX_REQUESTS = 1_000;

/** Unwritten events kept of one request. */
const MAX_EVENTS = 8;

/**
 * Events of recent requests that were not written because nothing had gone
 * wrong. When a request fails after all, its story is complete.
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

  keep(requestId: string, event: GatewayEvent): void {
    const events = this.byRequest.get(requestId) ?? [];
    if (events.length < MAX_EVENTS) {
      events.push(event);
    }
    this.byRequest.set(requestId, events);
  }

  /** The unwritten events of a request, which are then forgotten. */
  take(requestId: string): readonly GatewayEvent[] {
    const events = this.byRequest.get(requestId) ?? [];
    this.byRequest.delete(requestId);
    return events;
  }
}
