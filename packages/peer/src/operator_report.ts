import {
  describeRefusal,
  type ChangeReceipt,
} from '@filbertrun/configuration/plan_change.js';
import type {ChangeError} from '@filbertrun/configuration/submit_change.js';
import type {OperatorClient, RolloutReport} from './operator_client.js';
import {
  OPERATOR_EXIT_CODES,
  type OperatorSettings,
} from './operator_settings.js';
import type {ChangeRequest} from '@filbertrun/configuration/configuration_change.js';

/**
 * Output and exit code of an operators' program for a change.
 *
 * @public
 */

/** Output and exit code of a program. @public */
export interface OperatorReport {
  readonly exitCode: number;
  /** Human-readable output. */
  readonly text: string;
  /** Machine-readable output. */
  readonly json: Readonly<Record<string, unknown>>;
}

/** Submits a change and, with `wait`, waits for its rollout. @public */
export async function runChange(
  client: OperatorClient,
  request: ChangeRequest,
  settings: Pick<OperatorSettings, 'wait' | 'waitTimeoutMs'>,
): Promise<OperatorReport> {
  const response = await client.submit(request);
  if (!response.ok) {
    return reportError(request.changeId, response.error);
  }
  if (!settings.wait) {
    return reportReceipt(response.value, null);
  }
  const rollout = await client.waitUntilInForce(
    response.value.version,
    settings.waitTimeoutMs,
  );
  return reportReceipt(response.value, rollout);
}

/** Prints a report as JSON or as text. @public */
export function printReport(report: OperatorReport, isJson: boolean): void {
  if (isJson) {
    process.stdout.write(`${JSON.stringify(report.json)}\n`);
    return;
  }
  const isSuccess = report.exitCode === OPERATOR_EXIT_CODES.accepted;
  const stream = isSuccess ? process.stdout : process.stderr;
  stream.write(`${report.text}\n`);
}

/** Formats the error of a change as a message. @public */
export function describeChangeError(error: ChangeError): string {
  switch (error.kind) {
    case 'unavailable':
      return `not accepted: the platform is unavailable (${error.reason})`;
    case 'outcomeUnknown':
      return `the outcome is unknown; repeat the call with the same change id (${error.reason})`;
    default:
      return `refused: ${describeRefusal(error)}`;
  }
}

function reportReceipt(
  receipt: ChangeReceipt,
  rollout: RolloutReport | null,
): OperatorReport {
  const {changeId, version, effect} = receipt;
  const isInForce =
    rollout === null ||
    rollout.behind.length + rollout.unreachable.length === 0;
  const lines = [`change ${changeId}: ${effect}, version ${version}`];
  if (rollout !== null) {
    lines.push(describeRollout(rollout));
  }
  return {
    exitCode: isInForce
      ? OPERATOR_EXIT_CODES.accepted
      : OPERATOR_EXIT_CODES.notInForce,
    text: lines.join('\n'),
    json: {ok: true, ...receipt, rollout},
  };
}

function describeRollout(rollout: RolloutReport): string {
  const parts = [`in force on ${rollout.inForce.length} proxies`];
  if (rollout.behind.length > 0) {
    parts.push(`not yet on ${rollout.behind.join(', ')}`);
  }
  if (rollout.unreachable.length > 0) {
    parts.push(`no answer from ${rollout.unreachable.join(', ')}`);
  }
  return parts.join('; ');
}

function reportError(changeId: string, error: ChangeError): OperatorReport {
  const isRefused =
    error.kind !== 'unavailable' && error.kind !== 'outcomeUnknown';
  const message = describeChangeError(error);
  return {
    exitCode: isRefused
      ? OPERATOR_EXIT_CODES.refused
      : OPERATOR_EXIT_CODES.unavailable,
    text: `change ${changeId}: ${message}`,
    json: {ok: false, changeId, error, message},
  };
}
