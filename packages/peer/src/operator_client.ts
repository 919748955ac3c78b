import type {Clock} from '@filbertrun/base/clock.js';
import {sleep} from '@filbertrun/base/sleep.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {failure, type Result} from '@filbertrun/base/result.js';
import type {ChangeRequest} from '@filbertrun/configuration/configuration_change.js';
import type {ChangeReceipt} from '@filbertrun/configuration/plan_change.js';
import {
  submitChange,
  type ChangeError,
} from '@filbertrun/configuration/submit_change.js';
import type {PlatformService} from '@filbertrun/platform/platform_service.js';
import type {
  ChangePrimaryResponse,
  ChangePrimaryRequest,
  ProxyStatus,
} from './peer_protocol.js';
import {describePeerError, type PeerTransport} from './peer_transport.js';

/**
 * Client for operators' programs. It submits changes to the platform, or
 * through a proxy if the platform is unavailable, and waits until they are in
 * force.
 *
 * @public
 */

/** Options of an operator client. @public */
export interface OperatorClientOptions {
  readonly platform: PlatformService;
  readonly transport: PeerTransport;
  /** Peer URLs of proxies; if empty, they are read from the platform. */
  readonly proxyUrls: readonly string[];
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Proxies on which a version is in force, or is not, or unknown. @public */
export interface RolloutReport {
  readonly inForce: readonly string[];
  readonly behind: readonly string[];
  readonly unreachable: readonly string[];
}

/** Proxies to which a change is announced; they propagate it to the others. */
const MAX_ANNOUNCED_PROXIES = 16;

/** Maximum number of proxies through which a change is submitted. */
const MAX_SUBMISSION_PROXIES = 3;

const CALL_TIMEOUT_MS = 1000;

/** Timeout for a proxy to submit a change, including its own retries. */
const SUBMIT_TIMEOUT_MS = 20_000;

/** Timeout of a planned change of primary. */
const CHANGE_PRIMARY_TIMEOUT_MS = 30_000;

const ROLLOUT_POLL_INTERVAL_MS = 100;

/** Sends an operator's requests to the platform and the proxies. @public */
export class OperatorClient {
  private constructor(private readonly options: OperatorClientOptions) {}

  static create(options: OperatorClientOptions): OperatorClient {
    return new OperatorClient(options);
  }

  /** Submits a change; idempotent for the same change id. */
  async submit(
    request: ChangeRequest,
  ): Promise<Result<ChangeReceipt, ChangeError>> {
    const direct = await submitChange(request, this.options);
    const isFinal =
      direct.ok ||
      (direct.error.kind !== 'unavailable' &&
        direct.error.kind !== 'outcomeUnknown');
    const response = isFinal
      ? direct
      : await this.submitThroughProxies(request, direct);
    if (response.ok) {
      await this.announce(response.value);
    }
    return response;
  }

  /** Waits until `version` is in force on every proxy or the time is up. */
  async waitUntilInForce(
    version: number,
    timeoutMs: number,
  ): Promise<RolloutReport> {
    const deadlineMs = this.options.clock.nowMs() + timeoutMs;
    for (;;) {
      const report = await this.getRollout(version);
      const isDone = report.behind.length + report.unreachable.length === 0;
      if (isDone || this.options.clock.nowMs() >= deadlineMs) {
        return report;
      }
      await sleep(this.options.clock, ROLLOUT_POLL_INTERVAL_MS);
    }
  }

  /** Returns the status of each proxy that responds. */
  async getStatuses(): Promise<readonly ProxyStatus[]> {
    const proxyUrls = await this.listProxyUrls();
    const responses = await Promise.all(
      proxyUrls.map(proxyUrl =>
        this.options.transport.call(proxyUrl, 'getStatus', {}, CALL_TIMEOUT_MS),
      ),
    );
    return responses.flatMap(response => (response.ok ? [response.value] : []));
  }

  /**
   * Performs a planned change of primary through the first reachable proxy. If
   * a proxy was reached but the call failed, the outcome is unknown, because
   * the change may have been made.
   */
  async changePrimary(
    request: ChangePrimaryRequest,
  ): Promise<ChangePrimaryResponse> {
    let reason = 'no proxy could be reached';
    for (const proxyUrl of await this.listProxyUrls()) {
      const response = await this.options.transport.call(
        proxyUrl,
        'changePrimary',
        request,
        CHANGE_PRIMARY_TIMEOUT_MS,
      );
      if (response.ok) {
        return response.value;
      }
      reason = `${proxyUrl}: ${describePeerError(response.error)}`;
      if (response.error.kind !== 'unreachable') {
        return {kind: 'outcomeUnknown', reason};
      }
    }
    return {kind: 'refused', reason};
  }

  /** Returns the peer URLs of the proxies; empty if the platform fails. */
  async listProxyUrls(): Promise<readonly string[]> {
    if (this.options.proxyUrls.length > 0) {
      return this.options.proxyUrls;
    }
    const listed = await this.options.platform.listVms();
    return listed.ok ? listed.value.map(vm => vm.peerUrl) : [];
  }

  private async submitThroughProxies(
    request: ChangeRequest,
    direct: Result<ChangeReceipt, ChangeError>,
  ): Promise<Result<ChangeReceipt, ChangeError>> {
    let response = direct;
    const proxyUrls = await this.listProxyUrls();
    for (const proxyUrl of proxyUrls.slice(0, MAX_SUBMISSION_PROXIES)) {
      const next = await this.submitThrough(proxyUrl, request);
      const isOutcomeUnknown =
        !response.ok && response.error.kind === 'outcomeUnknown';
      const isUnavailable = !next.ok && next.error.kind === 'unavailable';
      // A later `unavailable` does not determine the outcome of an earlier call.
      if (!(isOutcomeUnknown && isUnavailable)) {
        response = next;
      }
      const shouldTryNextProxy =
        !response.ok &&
        (response.error.kind === 'unavailable' ||
          response.error.kind === 'outcomeUnknown');
      if (!shouldTryNextProxy) {
        return response;
      }
    }
    return response;
  }

  private async submitThrough(
    proxyUrl: string,
    request: ChangeRequest,
  ): Promise<Result<ChangeReceipt, ChangeError>> {
    const response = await this.options.transport.call(
      proxyUrl,
      'submitChange',
      request,
      SUBMIT_TIMEOUT_MS,
    );
    if (response.ok) {
      return response.value;
    }
    const reason = `${proxyUrl}: ${describePeerError(response.error)}`;
    const kind =
      response.error.kind === 'rejected' ? 'unavailable' : 'outcomeUnknown';
    return failure({kind, reason});
  }

  /** Announces a change to some proxies so that they do not wait for a poll. */
  private async announce(receipt: ChangeReceipt): Promise<void> {
    const {version, objectName} = receipt;
    const proxyUrls = await this.listProxyUrls();
    await Promise.all(
      proxyUrls
        .slice(0, MAX_ANNOUNCED_PROXIES)
        .map(proxyUrl =>
          this.options.transport.call(
            proxyUrl,
            'announceConfiguration',
            {version, objectName},
            CALL_TIMEOUT_MS,
          ),
        ),
    );
  }

  private async getRollout(version: number): Promise<RolloutReport> {
    const inForce: string[] = [];
    const behind: string[] = [];
    const unreachable: string[] = [];
    const proxyUrls = await this.listProxyUrls();
    await Promise.all(
      proxyUrls.map(async proxyUrl => {
        const response = await this.options.transport.call(
          proxyUrl,
          'getVersion',
          {},
          CALL_TIMEOUT_MS,
        );
        if (!response.ok) {
          unreachable.push(proxyUrl);
          return;
        }
        const isInForce =
          response.value.isReady && response.value.version >= version;
        (isInForce ? inForce : behind).push(response.value.entryVm);
      }),
    );
    return {inForce, behind, unreachable};
  }
}
