import {HOST} from './ports.js';
import type {Row, RowChange, RowKey} from './row_table.js';

/** Codec of the stand-in's store: paths, bodies and the documents in rows. */

/** Table in which instances register. @internal */
export const INSTANCE_TABLE = 'servers';

/** Table and key of the configuration. @internal */
export const CONFIGURATION_ROW: RowKey = {table: 'op', key: 'config'};

/** Table of the proxies' records. @internal */
export const CONTROL_TABLE = 'filbertrun';

const ROSTER_TABLE = 'filbertrunRosters';
const REGISTRATION_PREFIX = 'entryVm/';
const PRIMARY_PREFIX = 'primary/';
const LEADER_KEY = 'duty/failover';

/** A call of the store. @internal */
export type StoreCall =
  | {readonly kind: 'list'; readonly table: string}
  | {
      readonly kind: 'follow';
      readonly table: string;
      readonly afterVersion: number;
      readonly waitMs: number;
    }
  | {
      readonly kind: 'change';
      readonly expected: readonly (RowKey & {readonly version: number})[];
      readonly changes: readonly RowChange[];
    }
  | {readonly kind: 'unknown'};

interface WireRow {
  readonly table: string;
  readonly key: string;
  readonly value?: string;
  readonly ver?: number;
}

/** Parses a call. @internal */
export function parseStoreCall(pathText: string, bodyText: string): StoreCall {
  const url = new URL(pathText, 'http://store');
  const table = url.searchParams.get('table') ?? '';
  switch (url.pathname) {
    case '/-/rows-get':
      return {kind: 'list', table};
    case '/-/rows-feed':
      return {
        kind: 'follow',
        table,
        afterVersion: Number(url.searchParams.get('after')),
        waitMs: Number(url.searchParams.get('waitMs')),
      };
    case '/-/rows-tx': {
      const body = JSON.parse(bodyText) as {
        readonly expectedRev?: readonly WireRow[];
        readonly puts?: readonly WireRow[];
        readonly remove?: readonly WireRow[];
      };
      const {expectedRev = [], puts = [], remove = []} = body;
      return {
        kind: 'change',
        expected: expectedRev.map(({table, key, ver = 0}) => ({
          table,
          key,
          version: ver,
        })),
        changes: [
          ...puts.map(({table, key, value = ''}) => ({
            table,
            key,
            text: Buffer.from(value, 'base64').toString('utf8'),
          })),
          ...remove.map(({table, key}) => ({table, key, text: null})),
        ],
      };
    }
    default:
      return {kind: 'unknown'};
  }
}

/** Formats a row of a response; version 0 stands for a missing row. @internal */
export function formatRow({table, key, text, version}: Row): object {
  const row = {table, part: '', key, ver: version};
  if (text !== null) {
    return {...row, value: Buffer.from(text, 'utf8').toString('base64')};
  }
  return version === 0 ? row : {...row, tombstone: true};
}

/** Formats the body of a response. @internal */
export function formatStoreResponse(
  version: number,
  nowMs: number,
  rows: readonly object[] | null,
): string {
  const state = {ver: version, nowMs: Math.round(nowMs)};
  return JSON.stringify(
    rows === null ? state : {rows, morePages: false, ...state},
  );
}

/** What an instance reports of itself. @internal */
export interface InstanceReport {
  readonly databaseGroup: string;
  readonly port: number;
  readonly zone: string;
  readonly isDraining: boolean;
  readonly role: string;
  readonly sequence: number;
  readonly startedAtEpochMs: number;
  readonly capacity: number;
}

/** Formats the entry of an instance. @internal */
export function formatInstanceEntry(report: InstanceReport): string {
  return JSON.stringify({
    backend: report.databaseGroup,
    address: `${HOST}:${report.port}`,
    zone: report.zone,
    version: 'v1',
    capacity: report.capacity,
    state: report.isDraining ? 'draining' : 'ready',
    warmupLeftMs: 0,
    dbRole: report.role,
    sequence: report.sequence,
    born: report.startedAtEpochMs,
  });
}

/** Names under which callers connect. @internal */
export interface RouteNames {
  readonly strict: string;
  readonly ownWrites: string;
}

/** Returns the route names of a group. @internal */
export function getRouteNames(databaseGroup: string): RouteNames {
  return {
    strict: `${databaseGroup}-strict`,
    ownWrites: `${databaseGroup}-own`,
  };
}

/** Formats the configuration of all groups. @internal */
export function formatConfiguration(groups: readonly string[]): string {
  const routes = groups.flatMap(databaseGroup => {
    const {strict, ownWrites} = getRouteNames(databaseGroup);
    const route = {
      prefix: '/',
      timeoutMs: 1_000,
      targetLatencyMs: 400,
      priority: 2,
      backend: databaseGroup,
      attempts: 2,
    };
    return [
      {...route, name: strict, database: strict, routeType: 'primary'},
      {
        ...route,
        name: ownWrites,
        database: ownWrites,
        routeType: 'read_your_writes',
        maxStalenessMs: 2_500,
      },
    ];
  });
  const backends = groups.map(name => ({
    name,
    healthPath: '/healthz',
    maxConns: 40,
    protocol: 'h1',
    tls: false,
    syncReplicas: 1,
  }));
  return JSON.stringify({
    version: 7,
    routes,
    backends,
    limits: {txIdleMs: 3_000},
  });
}

/** State of a group's primary record. @internal */
export interface RecordedChange {
  readonly databaseGroup: string;
  readonly isChanging: boolean;
  readonly target: string | null;
  readonly text: string;
}

/** Reads the primary record in a row; null if the row is another one. @internal */
export function readRecordedChange(row: Row): RecordedChange | null {
  const {table, key, text} = row;
  if (table !== CONTROL_TABLE || text === null) {
    return null;
  }
  if (!key.startsWith(PRIMARY_PREFIX)) {
    return null;
  }
  const record = JSON.parse(text) as Record<string, unknown>;
  return {
    databaseGroup: key.slice(PRIMARY_PREFIX.length),
    isChanging: record['phase'] === 'changing',
    target: typeof record['target'] === 'string' ? record['target'] : null,
    text,
  };
}

/** Reads the failover leader; null if the row is another one. @internal */
export function readLeader({table, key, text}: Row): string | null {
  if (table !== CONTROL_TABLE || key !== LEADER_KEY || text === null) {
    return null;
  }
  const {holder} = JSON.parse(text) as {readonly holder?: unknown};
  return typeof holder === 'string' ? holder : null;
}

/** Maps a port; ports that it does not know stay as they are. @internal */
export type MapPort = (port: number) => number;

/**
 * Maps the ports in registrations and rosters, so that processes reach each
 * other through relays; other rows stay as they are. @internal
 */
export function mapPorts(
  {table, key, text}: RowChange,
  mapPort: MapPort,
): string | null {
  if (text === null) {
    return null;
  }
  switch (table) {
    case INSTANCE_TABLE:
      return text.replace(
        /(?<="address":"[^":]*:)\d+/,
        port => `${mapPort(Number(port))}`,
      );
    case ROSTER_TABLE:
      return replacePorts(text, ['port'], mapPort);
    case CONTROL_TABLE:
      return key.startsWith(REGISTRATION_PREFIX)
        ? replacePorts(text, ['peerPort', 'forwardPort'], mapPort)
        : text;
    default:
      return text;
  }
}

/** Maps the ports in fields of a document. */
function replacePorts(
  text: string,
  names: readonly string[],
  mapPort: MapPort,
): string {
  return JSON.stringify(
    JSON.parse(text, (name, value: unknown) =>
      names.includes(name) && typeof value === 'number'
        ? mapPort(value)
        : value,
    ),
  );
}
