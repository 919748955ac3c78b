import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';

/** What to start. @internal */
export interface ChildProgramOptions {
  readonly name: string;
  readonly scriptPath: string;
  readonly args: readonly string[];
  /** Added to the environment of this process. */
  readonly environment: Readonly<Record<string, string>>;
  /** Whether its logs go to the stderr of this process. */
  readonly showsLogs: boolean;
}

/** Time that a program has to end after SIGTERM. */
const STOP_TIMEOUT_MS = 30_000;

/** A program of the repository that runs as a child process. @internal */
export class ChildProgram {
  private isEnded = false;
  private readonly ended: Promise<void>;

  private constructor(
    private readonly options: ChildProgramOptions,
    private readonly child: ChildProcess,
  ) {
    this.ended = new Promise(resolve => {
      const handleEnd = () => {
        this.isEnded = true;
        resolve();
      };
      child.once('exit', handleEnd);
      child.once('error', handleEnd);
    });
  }

  static create(options: ChildProgramOptions): ChildProgram {
    const child = spawn(
      process.execPath,
      [options.scriptPath, ...options.args],
      {
        env: {...process.env, ...options.environment},
        stdio: ['ignore', 'pipe', options.showsLogs ? 'inherit' : 'ignore'],
      },
    );
    return new ChildProgram(options, child);
  }

  hasEnded(): boolean {
    return this.isEnded;
  }

  getProcessId(): number | undefined {
    return this.child.pid;
  }

  /** The first line that the program prints on stdout. */
  async readFirstLine(): Promise<string> {
    const {stdout} = this.child;
    if (stdout === null) {
      throw new Error(`${this.options.name} has no stdout`);
    }
    const lines = createInterface({input: stdout});
    const line = new Promise<string>(resolve => lines.once('line', resolve));
    const failed = this.ended.then(() => {
      throw new Error(`${this.options.name} ended before it was ready`);
    });
    return Promise.race([line, failed]);
  }

  /** Lets the program print without anyone reading. */
  ignoreOutput(): void {
    this.child.stdout?.resume();
  }

  /** Asks the program to end and waits; ends it by force after a bound. */
  async stop(): Promise<void> {
    if (this.isEnded) {
      return;
    }
    this.child.kill('SIGTERM');
    const timer = setTimeout(() => this.child.kill('SIGKILL'), STOP_TIMEOUT_MS);
    await this.ended;
    clearTimeout(timer);
  }

  /** Ends the program at once, as a lost machine would. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.ended;
  }
}
