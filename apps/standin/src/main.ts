#!/usr/bin/env node
import {readSettingsOrExit} from '@filbertrun/observability/settings.js';
import {BunyanLogger} from '@filbertrun/observability/logger.js';
import {getPreset} from '@filbertrun/standin/presets.js';
import {StandinSystem} from '@filbertrun/standin/standin_system.js';
import {STANDIN_SETTINGS} from './standin_settings.js';

/**
 * Runs the stand-ins of the database groups and the platform of one preset.
 * Prints one line of JSON on stdout as soon as all of them listen.
 */

const PROGRAM_NAME = 'filbertrun-standin';

async function run(): Promise<void> {
  const settings = readSettingsOrExit(STANDIN_SETTINGS, PROGRAM_NAME);
  const logger = BunyanLogger.create(PROGRAM_NAME, settings.logLevel);
  const system = StandinSystem.create({
    preset: getPreset(settings.preset),
    host: settings.host,
    portBase: settings.portBase === 0 ? null : settings.portBase,
    user: settings.backendUser,
    password: settings.backendPassword,
  });
  const addresses = await system.start();
  logger.info('standin_started', {preset: settings.preset, ...addresses});
  process.stdout.write(`${JSON.stringify({ready: true, ...addresses})}\n`);
  const stop = () => {
    system.dispose();
    process.exit(0);
  };
  process.on('SIGINT', stop);
  process.on('SIGTERM', stop);
}

run().catch(error => {
  process.stderr.write(`${PROGRAM_NAME}: ${String(error)}\n`);
  process.exit(1);
});
