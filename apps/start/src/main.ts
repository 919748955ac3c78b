#!/usr/bin/env node
import {readSettingsOrExit} from '@filbertrun/observability/settings.js';
import {
  Deployment,
  type DeploymentDescription,
} from '@filbertrun/standin/deployment.js';
import {START_SETTINGS} from './start_settings.js';

/**
 * `filbertrun-start`, for development: runs a preset with five proxies and
 * stand-ins of the database groups and the platform. Logs go to stderr.
 */

const PROGRAM_NAME = 'filbertrun-start';

async function run(): Promise<void> {
  const settings = readSettingsOrExit(START_SETTINGS, PROGRAM_NAME);
  const {preset, portBase} = settings;
  const deployment = Deployment.create({preset, portBase});
  let isStopping = false;
  const stop = (exitCode: number) => {
    if (isStopping) {
      return;
    }
    isStopping = true;
    deployment.dispose().then(
      () => process.exit(exitCode),
      () => process.exit(1),
    );
  };
  process.on('SIGINT', () => stop(0));
  process.on('SIGTERM', () => stop(0));
  try {
    const description = await deployment.start();
    process.stdout.write(
      settings.json
        ? `${JSON.stringify(description)}\n`
        : formatDescription(description),
    );
  } catch (error) {
    if (!isStopping) {
      process.stderr.write(`${PROGRAM_NAME}: ${String(error)}\n`);
    }
    stop(1);
  }
}

function formatDescription(description: DeploymentDescription): string {
  const {preset, user, password, databaseGroups, proxies} = description;
  const [first] = proxies;
  const lines = [
    '',
    `Preset ${preset} is running: ${databaseGroups.join(', ')}`,
    '',
  ];
  for (const proxy of proxies) {
    lines.push(
      `  ${proxy.entryVm}  ${proxy.host}:${proxy.port}  ${proxy.availabilityZone}  operator ${proxy.operatorUrl}`,
    );
  }
  const target = `host=${first?.host} port=${first?.port} user=${user} dbname=${databaseGroups[0]}`;
  lines.push(
    '',
    'Connect with:',
    '',
    `  PGPASSWORD=${password} psql "${target}"`,
    '',
    `Faults of the stand-ins: ${description.standinAdminUrl}/admin/state`,
    'Stop with Ctrl-C.',
    '',
  );
  return `${lines.join('\n')}\n`;
}

void run();
