import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, writeFileSync, type WriteStream} from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {HOST} from './ports.js';
import {
  formatProxySettings,
  GRACE_S,
  READINESS_PATH,
  SETTINGS_VARIABLE,
  type ProxySettingsOptions,
} from './proxy_settings.js';
import type {Trace} from './trace.js';

/** Options of a proxy process. @internal */
export interface ProxyProcessOptions {
  readonly settings: Omit<ProxySettingsOptions, 'isFirstStart'>;
  readonly bundle: string;
  readonly folder: string;
  readonly trace: Trace;
}

/** Time from the end of a process to its next start. */
const RESTART_MS = 400;

const HEAP_FLAG = '--max-old-space-size=200';

/** A proxy that is started again whenever its process ends. @internal */
export class ProxyProcess {
  /** Time until which the process is frozen. */
  frozenUntilMs = 0;
  startCount = 0;
  private child: ChildProcess | null = null;
  private isWanted = true;
  private readonly log: WriteStream;

  private constructor(private readonly options: ProxyProcessOptions) {
    const {folder, settings} = options;
    this.log = createWriteStream(path.join(folder, `${settings.entryVm}.log`));
  }

  static start(options: ProxyProcessOptions): ProxyProcess {
    const proxy = new ProxyProcess(options);
    proxy.spawn();
    return proxy;
  }

  get name(): string {
    return this.options.settings.entryVm;
  }

  get zone(): string {
    return this.options.settings.zone;
  }

  get callerPort(): number {
    return this.options.settings.callerPort;
  }

  /** Sends a signal to the process, if it runs. */
  signal(signal: NodeJS.Signals): void {
    this.options.trace.note(`${signal} to ${this.name}`);
    this.child?.kill(signal);
  }

  /** Sends SIGTERM, and SIGKILL at the end of the grace period. */
  terminate(): void {
    const {child} = this;
    this.signal('SIGTERM');
    setTimeout(() => child?.kill('SIGKILL'), GRACE_S * 1_000).unref();
  }

  freeze(durationMs: number): void {
    const {child, options} = this;
    const {trace} = options;
    this.signal('SIGSTOP');
    this.frozenUntilMs = trace.nowMs() + durationMs;
    setTimeout(() => {
      child?.kill('SIGCONT');
      trace.note(`${this.name} goes on`);
    }, durationMs);
  }

  /** Ends the process for good. */
  async stop(): Promise<void> {
    this.isWanted = false;
    const {child} = this;
    if (
      child !== null &&
      child.exitCode === null &&
      child.signalCode === null
    ) {
      const ended = new Promise(resolve => child.once('exit', resolve));
      child.kill('SIGKILL');
      await ended;
    }
    this.log.end();
  }

  isReady(): Promise<boolean> {
    return new Promise(resolve => {
      const port = this.options.settings.readinessPort;
      const url = `http://${HOST}:${port}${READINESS_PATH}`;
      const request = http.get(url, {timeout: 500}, response => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on('error', () => resolve(false));
      request.on('timeout', () => request.destroy());
    });
  }

  private spawn(): void {
    const {folder, settings, bundle, trace} = this.options;
    const file = path.join(folder, `${this.name}.json`);
    const isFirstStart = this.startCount++ === 0;
    writeFileSync(file, formatProxySettings({...settings, isFirstStart}));
    const child = spawn(process.execPath, [HEAP_FLAG, bundle], {
      env: {...process.env, [SETTINGS_VARIABLE]: file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    child.stdout.pipe(this.log, {end: false});
    child.stderr.pipe(this.log, {end: false});
    child.on('exit', (code, signal) => {
      if (!this.isWanted) {
        return;
      }
      trace.note(`${this.name} ended (${signal ?? code})`);
      setTimeout(() => {
        if (this.isWanted) {
          this.spawn();
          trace.note(`${this.name} starts`);
        }
      }, RESTART_MS);
    });
  }
}
