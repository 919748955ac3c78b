import {describe, expect, it} from 'vitest';
import {runInBackground} from './background_task.js';
import type {LogFields, Logger} from './logger.js';

/** Records the errors that are logged. */
class RecordingLogger implements Logger {
  readonly errors: {event: string; fields: LogFields}[] = [];

  debug(): void {}

  info(): void {}

  warn(): void {}

  error(event: string, fields: LogFields = {}): void {
    this.errors.push({event, fields});
  }
}

describe('runInBackground', () => {
  // Guards against a process that ends at a rejection that nobody handles.
  it('logs why a task has failed, in bounded length', async () => {
    const logger = new RecordingLogger();
    runInBackground(logger, 'test', Promise.reject(new Error('x'.repeat(999))));
    await new Promise(resolve => setImmediate(resolve));
    expect(logger.errors).toEqual([
      {event: 'task_failed', fields: {task: 'test', reason: 'x'.repeat(300)}},
    ]);
  });

  it('logs nothing of a task that has ended well', async () => {
    const logger = new RecordingLogger();
    runInBackground(logger, 'test', Promise.resolve());
    await new Promise(resolve => setImmediate(resolve));
    expect(logger.errors).toEqual([]);
  });
});
