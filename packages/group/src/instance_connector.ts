import type {Result} from '@filbertrun/base/result.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {
  InstanceControl,
  InstanceError,
  InstanceRole,
} from './instance_control.js';

/**
 * Opens control connections to instances.
 */

/** Unsolicited message or close of a control connection. @public */
export type InstanceEvent =
  | {readonly kind: 'majorityAdvanced'; readonly position: LogPosition}
  | {readonly kind: 'positionReported'; readonly position: LogPosition}
  | {readonly kind: 'roleReported'; readonly role: InstanceRole}
  | {readonly kind: 'closed'; readonly reason: string};

/** An open control connection. @public */
export interface InstanceConnection extends InstanceControl {
  /** Closes the connection. No event follows. */
  close(): void;
}

/** Opens control connections. @public */
export interface InstanceConnector {
  /**
   * Connects and subscribes to the majority position. `unreachable` means that
   * the instance or its network refused the connection, `timedOut` that there
   * was no response, and `failed` that the instance is alive but returned an
   * error, for example because its connection limit is reached.
   */
  connect(
    server: BackendServer,
    listener: (event: InstanceEvent) => void,
  ): Promise<Result<InstanceConnection, InstanceError>>;
}
