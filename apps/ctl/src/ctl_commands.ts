import {readAcceptedConfiguration} from '@filbertrun/configuration/submit_change.js';
import {changeRequestSchema} from '@filbertrun/configuration/configuration_change.js';
import type {ParsedCommand} from '@filbertrun/observability/settings.js';
import {
  runChange,
  type OperatorReport,
} from '@filbertrun/peer/operator_report.js';
import {
  OPERATOR_EXIT_CODES,
  type OperatorContext,
} from '@filbertrun/peer/operator_settings.js';
import type {
  ChangePrimaryResponse,
  ProxyStatus,
} from '@filbertrun/peer/peer_protocol.js';
import {z} from 'zod';
import {createChange} from './create_change.js';
import type {CTL_COMMANDS, CtlSettings} from './ctl_settings.js';

/**
 * The commands of filbertrun-ctl.
 *
 * @internal
 */

/** Runs a command and returns its report and exit code. @internal */
export async function runCtlCommand(
  command: ParsedCommand<typeof CTL_COMMANDS>,
  settings: CtlSettings,
  context: OperatorContext,
): Promise<OperatorReport> {
  const {name, operands} = command;
  if (name === 'status') {
    return reportStatus(context);
  }
  if (name === 'change-primary') {
    const [databaseGroup = '', backendServer = null] = operands;
    const {changeId} = settings;
    const request = {databaseGroup, backendServer, changeId};
    const response = await context.client.changePrimary(request);
    return reportChangePrimary(changeId, response);
  }
  const change = createChange(name, operands, settings);
  if (!change.ok) {
    return reportInvalid(change.error.reason);
  }
  const request = changeRequestSchema.safeParse({
    changeId: settings.changeId,
    baseVersion: settings.baseVersion,
    change: change.value,
  });
  if (!request.success) {
    return reportInvalid(z.prettifyError(request.error));
  }
  return runChange(context.client, request.data, settings);
}

function reportInvalid(message: string): OperatorReport {
  return {
    exitCode: OPERATOR_EXIT_CODES.invalidSettings,
    text: message,
    json: {ok: false, message},
  };
}

function reportChangePrimary(
  changeId: string,
  response: ChangePrimaryResponse,
): OperatorReport {
  const json = {ok: response.kind === 'changed', changeId, ...response};
  switch (response.kind) {
    case 'changed':
      return {
        exitCode: OPERATOR_EXIT_CODES.accepted,
        text: `change ${changeId}: ${response.primary} is the primary of term ${response.term}`,
        json,
      };
    case 'refused':
      return {
        exitCode: OPERATOR_EXIT_CODES.refused,
        text: `change ${changeId}: refused: ${response.reason}`,
        json,
      };
    case 'outcomeUnknown':
      return {
        exitCode: OPERATOR_EXIT_CODES.unavailable,
        text: `change ${changeId}: the outcome is unknown; repeat the call with the same change id (${response.reason})`,
        json,
      };
  }
}

async function reportStatus(context: OperatorContext): Promise<OperatorReport> {
  const current = await readAcceptedConfiguration(context.platform);
  const proxies = await context.client.getStatuses();
  if (!current.ok && proxies.length === 0) {
    const message = 'neither the platform nor any proxy responds';
    return {
      exitCode: OPERATOR_EXIT_CODES.unavailable,
      text: message,
      json: {ok: false, message},
    };
  }
  const configuration = current.ok ? current.value.held.configuration : null;
  const lines = [
    configuration === null
      ? 'the platform does not respond'
      : `accepted version ${configuration.version}`,
    ...proxies.map(describeProxy),
  ];
  for (const group of configuration?.databaseGroups ?? []) {
    const view = findNewestView(proxies, group.databaseGroup);
    const primary = view?.primary ?? 'unknown';
    lines.push(`${group.databaseGroup}: primary ${primary}`);
    for (const server of group.backendServers) {
      lines.push(
        `  ${server.backendServer}: ${server.state}, weight ${server.weight}`,
      );
    }
  }
  return {
    exitCode: OPERATOR_EXIT_CODES.accepted,
    text: lines.join('\n'),
    json: {ok: true, configuration, proxies},
  };
}

function describeProxy(proxy: ProxyStatus): string {
  const readiness = proxy.isReady ? 'ready' : 'not ready';
  const leaving = proxy.isLeaving ? ', leaving' : '';
  const live = proxy.members.filter(member => member.state === 'live').length;
  const version = proxy.configuration?.version ?? 0;
  return `${proxy.entryVm} (${proxy.availabilityZone}): ${readiness}${leaving}, version ${version}, sees ${live} live proxies`;
}

function findNewestView(
  proxies: readonly ProxyStatus[],
  databaseGroup: string,
) {
  let newest: ProxyStatus['groupViews'][number] | null = null;
  for (const proxy of proxies) {
    for (const view of proxy.groupViews) {
      const isOfGroup = view.databaseGroup === databaseGroup;
      if (isOfGroup && (newest === null || view.term > newest.term)) {
        newest = view;
      }
    }
  }
  return newest;
}
