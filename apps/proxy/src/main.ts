import {BunyanLogger} from '@filbertrun/observability/logger.js';
import {readSettingsOrExit} from '@filbertrun/observability/settings.js';
import {ProxyServer} from '@filbertrun/proxy/proxy_server.js';
import {PROXY_SETTINGS} from '@filbertrun/proxy/proxy_settings.js';

/** The proxy: one process on each entry VM. */

const PROGRAM_NAME = 'filbertrun-proxy';

const settings = readSettingsOrExit(PROXY_SETTINGS, PROGRAM_NAME);
const logger = BunyanLogger.create(PROGRAM_NAME, settings.logLevel, {
  entryVm: settings.entryVm,
  availabilityZone: settings.availabilityZone,
});
const server = await ProxyServer.create(settings, logger);

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => {
    void server.stop().then(() => process.exit(0));
  });
}
