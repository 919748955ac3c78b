import {readFileSync} from 'node:fs';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {SystemClock} from '@filbertrun/base/clock.js';
import {createSystemRandom} from '@filbertrun/base/random_source.js';
import type {Logger} from '@filbertrun/observability/logger.js';
import {MetricsRegistry} from '@filbertrun/observability/metrics.js';
import {ServiceLevelRecorder} from '@filbertrun/observability/service_level_recorder.js';
import {HttpPlatformService} from '@filbertrun/platform/http_platform_service.js';
import type {CallerListener} from './caller/caller_listener.js';
import {startDataPath} from './data_path.js';
import {OperatorServer} from './operator_server.js';
import {ProxyControl} from './proxy_control.js';
import {ProxyMetrics} from './proxy_metrics.js';
import type {ProxySettings} from './proxy_settings.js';

/** Timeout of a call to the platform (table, object store, VM directory). */
const PLATFORM_TIMEOUT_MS = 5_000;

/** Sampling interval of the event loop delay. */
const LOOP_DELAY_RESOLUTION_MS = 50;

const NANOSECONDS_PER_MS = 1e6;

/** Ports that a running proxy listens on. @public */
export interface ProxyPorts {
  readonly listenPort: number;
  readonly operatorPort: number;
}

/**
 * A proxy process: the data path, the control plane and the operator server.
 *
 * @public
 */
export class ProxyServer {
  private isStopping = false;

  private constructor(
    private readonly settings: ProxySettings,
    private readonly logger: Logger,
    private readonly control: ProxyControl,
    private readonly listener: CallerListener,
    private operator: OperatorServer | null,
  ) {}

  /** Starts a proxy and resolves when it accepts callers. */
  static async create(
    settings: ProxySettings,
    logger: Logger,
  ): Promise<ProxyServer> {
    const clock = SystemClock.create();
    const random = createSystemRandom();
    const registry = MetricsRegistry.create();
    const serviceLevels = ServiceLevelRecorder.create(settings.entryVm);
    const metrics = ProxyMetrics.create(registry, serviceLevels);
    const control = await ProxyControl.create({
      settings,
      platform: createPlatform(settings),
      clock,
      random,
      logger,
      startedAtEpochMs: Date.now(),
      recordWriteGap: gap => serviceLevels.recordWriteGap(gap),
    });
    const listener = await startDataPath({
      ...settings,
      tokenKeys: settings.tokenKey.split(','),
      tls: readTlsFiles(settings),
      groups: control.groups,
      configuration: control.plane.configuration,
      clock,
      random,
      metrics,
    });
    const server = new ProxyServer(settings, logger, control, listener, null);
    await server.startOperator(registry, metrics, serviceLevels);
    logger.info('proxy_started', {...server.ports});
    return server;
  }

  get ports(): ProxyPorts {
    return {
      listenPort: this.listener.port,
      operatorPort: this.operator?.port ?? 0,
    };
  }

  /** Whether load balancers should send callers to this proxy. */
  isReady(): boolean {
    return !this.isStopping && this.control.isReady();
  }

  /**
   * Stops gracefully. Running requests and open transactions may finish within
   * `shutdownTimeoutMs`.
   */
  async stop(): Promise<void> {
    if (this.isStopping) {
      return;
    }
    this.isStopping = true;
    this.logger.info('proxy_stopping');
    this.control.startLeaving();
    await this.listener.stop(this.settings.shutdownTimeoutMs);
    await this.control.dispose();
    this.operator?.dispose();
    this.logger.info('proxy_stopped');
  }

  private async startOperator(
    registry: MetricsRegistry,
    metrics: ProxyMetrics,
    serviceLevels: ServiceLevelRecorder,
  ): Promise<void> {
    const loopDelay = monitorEventLoopDelay({
      resolution: LOOP_DELAY_RESOLUTION_MS,
    });
    loopDelay.enable();
    this.operator = await OperatorServer.create({
      host: this.settings.listenHost,
      port: this.settings.operatorPort,
      metrics: registry,
      getServiceLevels: () => serviceLevels.getSnapshot(),
      isReady: () => this.isReady(),
      refreshMetrics: () => {
        metrics.setLoopDelay(loopDelay.percentile(99) / NANOSECONDS_PER_MS);
        loopDelay.reset();
      },
    });
  }
}

function createPlatform(settings: ProxySettings): HttpPlatformService {
  const {platformUrl: baseUrl, sourceAddress} = settings;
  return HttpPlatformService.create({
    baseUrl,
    timeoutMs: PLATFORM_TIMEOUT_MS,
    ...(sourceAddress === null ? {} : {sourceAddress}),
  });
}

function readTlsFiles(
  settings: ProxySettings,
): {readonly cert: string; readonly key: string} | null {
  const {tlsCertificateFile, tlsKeyFile} = settings;
  if (tlsCertificateFile === null || tlsKeyFile === null) {
    return null;
  }
  return {
    cert: readFileSync(tlsCertificateFile, 'utf8'),
    key: readFileSync(tlsKeyFile, 'utf8'),
  };
}
