import http from 'node:http';
import {
  sendHttpRequest,
  type HttpRequest,
} from '@filbertrun/base/http_request.js';
import type {httpLink} from '@trpc/client';

/** The function with which a tRPC link sends requests. @public */
export type HttpFetch = NonNullable<Parameters<typeof httpLink>[0]['fetch']>;

/** Timeouts of a call; see `HttpRequest`. @public */
export type HttpTimeouts = Pick<HttpRequest, 'timeoutMs' | 'stallTimeoutMs'>;

const FIRST_ERROR_STATUS = 400;

/**
 * Creates a fetch function for a tRPC link that uses Node's HTTP client, which
 * starts faster and sends fewer bytes than `fetch`. It counts the bytes of each
 * call that received a response, without headers.
 *
 * @public
 */
export function createHttpFetch(
  timeouts: HttpTimeouts,
  countBytes: (url: string, bytes: number) => void,
): HttpFetch {
  const agent = new http.Agent({keepAlive: true});
  return async (url, init) => {
    const response = await sendHttpRequest({
      method: init?.method ?? 'GET',
      url: String(url),
      headers: typeof init?.body === 'string' ? JSON_HEADERS : {},
      body: typeof init?.body === 'string' ? init.body : null,
      agent,
      ...timeouts,
    });
    if (!response.ok) {
      throw new Error(response.error.reason);
    }
    const {status, body} = response.value;
    const sentBytes = typeof init?.body === 'string' ? init.body.length : 0;
    countBytes(String(url), String(url).length + sentBytes + body.length);
    return {
      ok: status < FIRST_ERROR_STATUS,
      status,
      json: () => Promise.resolve(JSON.parse(body) as unknown),
    };
  };
}

const JSON_HEADERS = {'content-type': 'application/json'} as const;
