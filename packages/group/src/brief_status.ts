import {formatPosition, parsePosition} from '@filbertrun/model/log_position.js';
import type {InstanceStatus, ReplicaReport} from './instance_control.js';

/**
 * Compact text format of an instance's status. Every monitoring proxy polls
 * several times a second, so status texts make up most of the control traffic.
 *
 * The fields, separated by spaces: backend server, role (`p` or `r`), term,
 * claim id, log position, primary, time since the primary was last heard from,
 * and the replicas as a comma-separated list of `NAME=POSITION@SILENT_MS`. `-`
 * stands for an empty or missing value.
 */

const FIELD_SEPARATOR = ' ';
const REPLICA_SEPARATOR = ',';
const NO_VALUE = '-';
const FIELD_COUNT = 8;

/** Maximum number of replicas in a status text. */
const MAX_REPLICAS = 64;

const REPLICA_PATTERN = /^(.+)=(\d+\/\d+)@(\d+)$/;
const INTEGER_PATTERN = /^\d{1,15}$/;

/** Formats a status; names are percent-encoded. @public */
export function formatBriefStatus(status: InstanceStatus): string {
  const silentMs = status.primarySilentForMs;
  const replicas = status.replicas.map(formatReplica).join(REPLICA_SEPARATOR);
  return [
    encodeName(status.backendServer),
    status.role === 'primary' ? 'p' : 'r',
    status.term,
    encodeName(status.claimId),
    formatPosition(status.position),
    encodeName(status.primary ?? ''),
    silentMs === null ? NO_VALUE : Math.round(silentMs),
    replicas === '' ? NO_VALUE : replicas,
  ].join(FIELD_SEPARATOR);
}

/** Parses a status; null if the text is malformed. @public */
export function parseBriefStatus(text: string): InstanceStatus | null {
  const fields = text.split(FIELD_SEPARATOR);
  if (fields.length !== FIELD_COUNT) {
    return null;
  }
  const [server, role, term, claim, positionText, primary, silent, list] =
    fields;
  const backendServer = decodeName(server);
  const claimId = decodeName(claim);
  const primaryName = decodeName(primary);
  const position = parsePosition(positionText ?? '');
  const replicas = parseReplicas(list ?? '');
  const isKnownRole = role === 'p' || role === 'r';
  if (
    backendServer === null ||
    claimId === null ||
    primaryName === null ||
    position === null ||
    replicas === null ||
    !isKnownRole ||
    !isInteger(term) ||
    !(silent === NO_VALUE || isInteger(silent))
  ) {
    return null;
  }
  return {
    backendServer,
    role: role === 'p' ? 'primary' : 'replica',
    term: Number(term),
    claimId,
    position,
    primary: primaryName === '' ? null : primaryName,
    primarySilentForMs: silent === NO_VALUE ? null : Number(silent),
    replicas,
  };
}

function formatReplica(replica: ReplicaReport): string {
  const name = encodeName(replica.backendServer);
  const silentForMs = Math.round(replica.silentForMs);
  return `${name}=${formatPosition(replica.confirmed)}@${silentForMs}`;
}

function parseReplicas(text: string): readonly ReplicaReport[] | null {
  if (text === NO_VALUE) {
    return [];
  }
  const parts = text.split(REPLICA_SEPARATOR);
  if (parts.length > MAX_REPLICAS) {
    return null;
  }
  const replicas: ReplicaReport[] = [];
  for (const part of parts) {
    const [, name, positionText, silentMs] = REPLICA_PATTERN.exec(part) ?? [];
    const backendServer = decodeName(name);
    const confirmed = parsePosition(positionText ?? '');
    if (backendServer === null || confirmed === null) {
      return null;
    }
    replicas.push({backendServer, confirmed, silentForMs: Number(silentMs)});
  }
  return replicas;
}

function isInteger(text: string | undefined): boolean {
  return text !== undefined && INTEGER_PATTERN.test(text);
}

/** Encodes an empty name as `-`, and the name `-` itself as `%2D`. */
function encodeName(name: string): string {
  if (name === '') {
    return NO_VALUE;
  }
  return name === NO_VALUE ? '%2D' : encodeURIComponent(name);
}

function decodeName(text: string | undefined): string | null {
  if (text === undefined || text === '') {
    return null;
  }
  if (text === NO_VALUE) {
    return '';
  }
  try {
    return decodeURIComponent(text);
  } catch {
    return null;
  }
}
