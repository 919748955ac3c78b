import {execFileSync} from 'node:child_process';
import os from 'node:os';
import process from 'node:process';

/**
 * What a result must name to be compared with another.
 */

/** The machine and the version that a run measured. @public */
export interface RunOrigin {
  readonly commit: string;
  readonly nodeVersion: string;
  readonly cpuModel: string;
  readonly cpuCount: number;
  readonly memoryMb: number;
  readonly startedAt: string;
}

/** Describes this run. @public */
export function getRunOrigin(): RunOrigin {
  const cpus = os.cpus();
  return {
    commit: getCommit(),
    nodeVersion: process.version,
    cpuModel: cpus[0]?.model ?? 'unknown',
    cpuCount: cpus.length,
    memoryMb: Math.round(os.totalmem() / 1024 / 1024),
    startedAt: new Date().toISOString(),
  };
}

/** The commit of the work tree, with `+` when it has changes. */
function getCommit(): string {
  try {
    const commit = runGit(['rev-parse', '--short', 'HEAD']);
    const changes = runGit(['status', '--porcelain', '--untracked-files=no']);
    return changes === '' ? commit : `${commit}+`;
  } catch {
    return 'unknown';
  }
}

function runGit(parameters: readonly string[]): string {
  return execFileSync('git', parameters, {
    encoding: 'utf8',
    stdio: ['ignore', 'pipe', 'ignore'],
  }).trim();
}
