import bunyan from 'bunyan';

/**
 * Structured logs: one JSON object per line, on stderr. Each event that an
 * operator acts on has a stable `event` field, listed in docs/OPERATIONS.md.
 */

/** Fields of a log event. @public */
export type LogFields = Readonly<Record<string, unknown>>;

/** Minimum severity; events below it are dropped. @public */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Writes log events. @public */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Receives complete log lines. @public */
export interface LineSink {
  write(line: string): void;
}

/** Writes bunyan records to a sink, or to stderr if there is none. @public */
export class BunyanLogger implements Logger {
  private constructor(private readonly target: bunyan) {}

  static create(
    programName: string,
    level: LogLevel,
    fields: LogFields = {},
    sink: LineSink | null = null,
  ): BunyanLogger {
    const target = bunyan.createLogger({
      ...fields,
      name: programName,
      streams: [
        sink === null
          ? {level, stream: process.stderr}
          : {level, type: 'raw', stream: createRecordStream(sink)},
      ],
    });
    return new BunyanLogger(target);
  }

  debug(event: string, fields: LogFields = {}): void {
    this.target.debug({...fields, event}, event);
  }

  info(event: string, fields: LogFields = {}): void {
    this.target.info({...fields, event}, event);
  }

  warn(event: string, fields: LogFields = {}): void {
    this.target.warn({...fields, event}, event);
  }

  error(event: string, fields: LogFields = {}): void {
    this.target.error({...fields, event}, event);
  }
}

/** Discards every event. @public */
export class NullLogger implements Logger {
  private constructor() {}

  static create(): NullLogger {
    return new NullLogger();
  }

  debug(): void {}
  info(): void {}
  warn(): void {}
  error(): void {}
}

/** Creates a bunyan stream that writes each record as one line of JSON. */
function createRecordStream(sink: LineSink) {
  return {
    write: (record: unknown) => sink.write(`${JSON.stringify(record)}\n`),
  };
}
