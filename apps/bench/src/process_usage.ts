import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';

/** Reads the CPU time and memory of another process from `/proc`. */

const MS_PER_SECOND = 1_000;
const BYTES_PER_KB = 1_024;

/** Indexes of `/proc/PID/stat` fields, starting after the command field. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

const TICKS_PER_SECOND = Number(
  execFileSync('getconf', ['CLK_TCK'], {encoding: 'utf8'}),
);

/** Returns the CPU time that a process has used, in milliseconds. @public */
export function getCpuTimeMs(processId: number): number {
  const text = readFileSync(`/proc/${processId}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return (ticks / TICKS_PER_SECOND) * MS_PER_SECOND;
}

/** Returns the resident memory of a process, in bytes. @public */
export function getResidentBytes(processId: number): number {
  const text = readFileSync(`/proc/${processId}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) * BYTES_PER_KB;
}
