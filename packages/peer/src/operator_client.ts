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
  ChangePrimaryAnswer,
  ChangePrimaryRequest,
  ProxyStatus,
} from './peer_protocol.js';
import {describePeerError, type PeerTransport} from './peer_transport.js';

/**
 * What operators' programs ask of the system: they submit changes to the
 * platform, or through a proxy when they cannot reach it, and follow them
 * until they are in force.
 *
 * @public
 */

/** What the client works with. @public */
export interface OperatorClientOptions {
  readonly platform: PlatformService;
  readonly transport: PeerTransport;
  /** Peer URLs of proxies; when empty the platform's list gives them. */
  readonly proxyUrls: readonly string[];
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Which proxies act on a version. @public */
export interface RolloutReport {
  readonly inForce: readonly string[];
  readonly behind: readonly string[];
  readonly unreachable: readonly string[];
}

/** Proxies that are told of a change at once; they tell the others. */
const MAX_ANNOUNCEMENTS = 16;

/** Proxies through which a change is tried. */
const MAX_SUBMISSION_PROXIES = 3;

const CALL_TIMEOUT_MS = 1000;

/** Time that a proxy has to submit a change, its own retries included. */
const SUBMIT_TIMEOUT_MS = 20_000;

/** Time that a planned change of primary may take. */
const CHANGE_PRIMARY_TIMEOUT_MS = 30_000;

const ROLLOUT_POLL_INTERVAL_MS = 100;

/** Asks the system on behalf of an operator. @public */
export class OperatorClient {
  private constructor(private readonly options: OperatorClientOptions) {}

  static create(options: OperatorClientOptions): OperatorClient {
    return new OperatorClient(options);
  }

  /** Submits a change; repeating it with the same change id is safe. */
  async submit(
    request: ChangeRequest,
  ): Promise<Result<ChangeReceipt, ChangeError>> {
    const direct = await submitChange(request, this.options);
    const isSettled =
      direct.ok ||
      (direct.error.kind !== 'unavailable' &&
        direct.error.kind !== 'outcomeUnknown');
    const answer = isSettled
      ? direct
      : await this.submitThroughProxies(request, direct);
    if (answer.ok) {
      await this.announce(answer.value);
    }
    return answer;
  }

  /** Waits until each proxy acts on `version`, or the time is over. */
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

  /** The status of each proxy that answers. */
  async getStatuses(): Promise<readonly ProxyStatus[]> {
    const proxyUrls = await this.listProxyUrls();
    const answers = await Promise.all(
      proxyUrls.map(proxyUrl =>
        this.options.transport.call(proxyUrl, 'getStatus', {}, CALL_TIMEOUT_MS),
      ),
    );
    return answers.flatMap(answer => (answer.ok ? [answer.value] : []));
  }

  /**
   * Makes a planned change of primary through the first proxy that can be
   * reached. A proxy that was reached but did not answer may have made it.
   */
  async changePrimary(
    request: ChangePrimaryRequest,
  ): Promise<ChangePrimaryAnswer> {
    let reason = 'no proxy could be reached';
    for (const proxyUrl of await this.listProxyUrls()) {
      const answer = await this.options.transport.call(
        proxyUrl,
        'changePrimary',
        request,
        CHANGE_PRIMARY_TIMEOUT_MS,
      );
      if (answer.ok) {
        return answer.value;
      }
      reason = `${proxyUrl}: ${describePeerError(answer.error)}`;
      if (answer.error.kind !== 'unreachable') {
        return {kind: 'outcomeUnknown', reason};
      }
    }
    return {kind: 'refused', reason};
  }

  /** Peer URLs of the proxies; empty when none can be learned. */
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
    let answer = direct;
    const proxyUrls = await this.listProxyUrls();
    for (const proxyUrl of proxyUrls.slice(0, MAX_SUBMISSION_PROXIES)) {
      const next = await this.submitThrough(proxyUrl, request);
      const isUnsettled = !answer.ok && answer.error.kind === 'outcomeUnknown';
      const isUseless = !next.ok && next.error.kind === 'unavailable';
      if (!(isUnsettled && isUseless)) {
        answer = next;
      }
      const mustGoOn =
        !answer.ok &&
        (answer.error.kind === 'unavailable' ||
          answer.error.kind === 'outcomeUnknown');
      if (!mustGoOn) {
        return answer;
      }
    }
    return answer;
  }

  private async submitThrough(
    proxyUrl: string,
    request: ChangeRequest,
  ): Promise<Result<ChangeReceipt, ChangeError>> {
    const answer = await this.options.transport.call(
      proxyUrl,
      'submitChange',
      request,
      SUBMIT_TIMEOUT_MS,
    );
    if (answer.ok) {
      return answer.value;
    }
    const reason = `${proxyUrl}: ${describePeerError(answer.error)}`;
    const kind =
      answer.error.kind === 'rejected' ? 'unavailable' : 'outcomeUnknown';
    return failure({kind, reason});
  }

  /** Tells some proxies at once, so that they need not wait for a poll. */
  private async announce(receipt: ChangeReceipt): Promise<void> {
    const {version, objectName} = receipt;
    const proxyUrls = await this.listProxyUrls();
    await Promise.all(
      proxyUrls
        .slice(0, MAX_ANNOUNCEMENTS)
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
        const answer = await this.options.transport.call(
          proxyUrl,
          'getVersion',
          {},
          CALL_TIMEOUT_MS,
        );
        if (!answer.ok) {
          unreachable.push(proxyUrl);
          return;
        }
        const isInForce =
          answer.value.isReady && answer.value.version >= version;
        (isInForce ? inForce : behind).push(answer.value.entryVm);
      }),
    );
    return {inForce, behind, unreachable};
  }
}
