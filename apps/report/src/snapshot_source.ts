import {readFile} from 'node:fs/promises';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {
  serviceLevelSnapshotSchema,
  type ServiceLevelSnapshot,
} from '@filbertrun/observability/service_level_snapshot.js';

/**
 * Reads service-level snapshots from proxies and from files.
 */

/** Path of the snapshot on the operator interface of a proxy. */
const SNAPSHOT_PATH = '/service-levels';

/** A source whose snapshot could not be read. @public */
export interface MissingSource {
  readonly source: string;
  readonly reason: string;
}

/** Snapshots of all sources that could be read. @public */
export interface CollectedSnapshots {
  readonly snapshots: readonly ServiceLevelSnapshot[];
  readonly missing: readonly MissingSource[];
}

/** Sources of snapshots. @public */
export interface SnapshotSources {
  readonly operatorUrls: readonly string[];
  readonly snapshotFiles: readonly string[];
  readonly timeoutMs: number;
}

/** Reads all sources concurrently; failed ones are missing. @public */
export async function collectSnapshots(
  sources: SnapshotSources,
): Promise<CollectedSnapshots> {
  const results = await Promise.all([
    ...sources.operatorUrls.map(url => readFromProxy(url, sources.timeoutMs)),
    ...sources.snapshotFiles.map(readFromFile),
  ]);
  const snapshots: ServiceLevelSnapshot[] = [];
  const missing: MissingSource[] = [];
  for (const result of results) {
    if (result.ok) {
      snapshots.push(result.value);
    } else {
      missing.push(result.error);
    }
  }
  return {snapshots, missing};
}

async function readFromProxy(
  url: string,
  timeoutMs: number,
): Promise<Result<ServiceLevelSnapshot, MissingSource>> {
  try {
    const response = await fetch(new URL(SNAPSHOT_PATH, url), {
      signal: AbortSignal.timeout(timeoutMs),
    });
    if (!response.ok) {
      return failure({source: url, reason: `status ${response.status}`});
    }
    return parseSnapshot(url, await response.text());
  } catch (error) {
    return failure({source: url, reason: String(error)});
  }
}

async function readFromFile(
  file: string,
): Promise<Result<ServiceLevelSnapshot, MissingSource>> {
  try {
    return parseSnapshot(file, await readFile(file, 'utf8'));
  } catch (error) {
    return failure({source: file, reason: String(error)});
  }
}

function parseSnapshot(
  source: string,
  text: string,
): Result<ServiceLevelSnapshot, MissingSource> {
  let data: unknown;
  try {
    data = JSON.parse(text);
  } catch {
    return failure({source, reason: 'not JSON'});
  }
  const parsed = serviceLevelSnapshotSchema.safeParse(data);
  if (!parsed.success) {
    return failure({source, reason: 'not a service-level snapshot'});
  }
  return success(parsed.data);
}
