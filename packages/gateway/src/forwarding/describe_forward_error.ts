import type {ForwardError} from './forward_client_stream.js';

/** Describes why an exchange has no reply, for log events. @public */
export function describeForwardError(error: ForwardError): string {
  switch (error.kind) {
    case 'notSent':
      return `not sent: ${error.reason}`;
    case 'connectionLost':
      return `stream lost: ${error.reason}`;
    case 'timedOut':
      return 'timed out';
    case 'cancelled':
      return 'cancelled';
    case 'declined':
      return `declined: ${error.reason}`;
  }
}
