import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';

/** Options of a child program. @internal */
export interface ChildProgramOptions {
  readonly name: string;
  readonly scriptPath: string;
  readonly args: readonly string[];
  /** Variables that are added to the environment of this process. */
  readonly environment: Readonly<Record<string, string>>;
  /** Whether its stderr goes to the stderr of this process. */
  readonly showsLogs: boolean;
}

/** Time between SIGTERM and SIGKILL if the program does not exit. */
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

  /** Reads the first line that the program prints on stdout. */
  async readFirstLine(): Promise<string> {
    const {stdout} = this.child;
    if (stdout === null) {
      throw new Error(`The stdout of ${this.options.name} is not piped`);
    }
    const lines = createInterface({input: stdout});
    const line = new Promise<string>(resolve => lines.once('line', resolve));
    const failed = this.ended.then(() => {
      throw new Error(`${this.options.name} exited before it was ready`);
    });
    return Promise.race([line, failed]);
  }

  /** Discards stdout, so that a full pipe does not block the program. */
  ignoreOutput(): void {
    this.child.stdout?.resume();
  }

  /** Sends SIGTERM and waits for the exit; sends SIGKILL after a timeout. */
  async stop(): Promise<void> {
    if (this.isEnded) {
      return;
    }
    this.child.kill('SIGTERM');
    const timer = setTimeout(() => this.child.kill('SIGKILL'), STOP_TIMEOUT_MS);
    await this.ended;
    clearTimeout(timer);
  }

  /** Kills the program without warning, to simulate a machine failure. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.ended;
  }
}
