import {execFileSync} from 'node:child_process';
import os from 'node:os';
import process from 'node:process';

/**
 * Machine and version that two results must have in common to be comparable.
 */

/** Machine, version and start time of a run. @public */
export interface RunOrigin {
  readonly commit: string;
  readonly nodeVersion: string;
  readonly cpuModel: string;
  readonly cpuCount: number;
  readonly memoryMb: number;
  readonly startedAt: string;
}

/** Returns the origin of the current run. @public */
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

/** Returns the checked-out commit, followed by `+` if the tree is dirty. */
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
