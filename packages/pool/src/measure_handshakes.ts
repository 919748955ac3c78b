import type {Clock} from '@filbertrun/base/clock.js';
import type {BackendConnector} from './pool_types.js';

/**
 * Returns a connector that reports the duration of each successful connection
 * attempt.
 *
 * @internal
 */
export function measureHandshakes<C>(
  connector: BackendConnector<C>,
  clock: Clock,
  record: (durationMs: number) => void,
): BackendConnector<C> {
  return {
    connect: identity => {
      const startMs = clock.nowMs();
      const attempt = connector.connect(identity);
      // A separate branch, so that the result is not delayed by a microtask.
      void attempt.then(
        result => {
          if (result.ok) {
            record(clock.nowMs() - startMs);
          }
        },
        () => {
          // The caller of `connect` handles the error.
        },
      );
      return attempt;
    },
    close: connection => connector.close(connection),
    isUsable: connection => connector.isUsable(connection),
  };
}
