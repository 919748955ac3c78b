import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {MetricsRegistry} from '@filbertrun/observability/metrics.js';
import type {ServiceLevelSnapshot} from '@filbertrun/observability/service_level_snapshot.js';

/** Options of the operator server. @public */
export interface OperatorServerOptions {
  readonly host: string;
  /** 0 picks a free port. */
  readonly port: number;
  readonly metrics: MetricsRegistry;
  readonly getServiceLevels: () => ServiceLevelSnapshot;
  /** Whether the proxy should accept callers; decides `/readyz`. */
  readonly isReady: () => boolean;
  /** Updates sampled metrics before they are exported. */
  readonly refreshMetrics: () => void;
}

const PROMETHEUS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/**
 * HTTP server for monitoring: `/metrics`, `/service-levels`, `/healthz` and
 * `/readyz`.
 *
 * @public
 */
export class OperatorServer {
  private constructor(
    private readonly server: Server,
    private readonly options: OperatorServerOptions,
  ) {}

  /** Starts listening. */
  static async create(options: OperatorServerOptions): Promise<OperatorServer> {
    const server = createServer();
    const operator = new OperatorServer(server, options);
    server.on('request', (request, response) =>
      operator.handleRequest(request, response),
    );
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.port, options.host, resolve);
    });
    return operator;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    switch (request.url?.split('?')[0]) {
      case '/metrics':
        this.options.refreshMetrics();
        response.setHeader('content-type', PROMETHEUS_CONTENT_TYPE);
        response.end(this.options.metrics.formatPrometheusText());
        return;
      case '/service-levels':
        response.setHeader('content-type', 'application/json');
        response.end(JSON.stringify(this.options.getServiceLevels()));
        return;
      case '/healthz':
        response.end('ok\n');
        return;
      case '/readyz':
        this.sendReadiness(response);
        return;
      default:
        response.statusCode = 404;
        response.end('not found\n');
    }
  }

  private sendReadiness(response: ServerResponse): void {
    const isReady = this.options.isReady();
    response.statusCode = isReady ? 200 : 503;
    response.end(isReady ? 'ready\n' : 'not ready\n');
  }
}
