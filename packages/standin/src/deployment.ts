import {randomBytes} from 'node:crypto';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {listedVmSchema} from '@filbertrun/platform/http_platform_service.js';
import type {ListedVm} from '@filbertrun/platform/platform_service.js';
import {z} from 'zod';
import type {AdminCommand} from './admin_command.js';
import {ChildProgram} from './child_program.js';
import {waitForProxy} from './deployment_probe.js';
import {
  getPreset,
  listPresetEntryVms,
  type PresetEntryVm,
  type PresetName,
} from './presets.js';

/**
 * Runs a complete deployment on this machine for development and measurements:
 * the stand-ins in one process and one proxy process for each entry VM.
 */

/** Options of a deployment. @public */
export interface DeploymentOptions {
  readonly preset: PresetName;
  /** First of `DEPLOYMENT_PORT_COUNT` ports that the deployment uses. */
  readonly portBase: number;
  /** Whether child processes log to this process's stderr; default true. */
  readonly showsLogs?: boolean;
  /** Additional settings of every proxy, by flag name. */
  readonly proxySettings?: Readonly<Record<string, string>>;
}

/** A proxy of a deployment. @public */
export interface DeployedProxy {
  readonly entryVm: string;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly operatorUrl: string;
}

/** Description of a running deployment; the launcher prints it. @public */
export interface DeploymentDescription {
  readonly ready: true;
  readonly preset: PresetName;
  readonly user: string;
  readonly password: string;
  readonly databaseGroups: readonly string[];
  readonly proxies: readonly DeployedProxy[];
  readonly standinAdminUrl: string;
  readonly platformUrl: string;
  /** Base URL of each proxy's interface for operators and peers. */
  readonly peerUrls: readonly string[];
  readonly operatorKey: string;
  readonly backendUser: string;
  readonly backendPassword: string;
}

/** Number of ports that a deployment uses. @public */
export const DEPLOYMENT_PORT_COUNT = 50;

const HOST = '127.0.0.1';

/** Offsets of the ports from the first port. */
const OPERATOR_PORT_OFFSET = 10;
const PEER_PORT_OFFSET = 20;
const STANDIN_PORT_OFFSET = 30;

const BACKEND_USER = 'filbertrun';
const SECRET_BYTES = 18;

const ROOT_DIRECTORY = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../../..',
);

const standinReadySchema = z.object({
  ready: z.literal(true),
  platformUrl: z.string(),
  adminUrl: z.string(),
});

/** A deployment of proxies and stand-ins. @public */
export class Deployment {
  private standin: ChildProgram | null = null;
  private readonly proxies: (ChildProgram | null)[] = [];
  /** URLs of the relays through which the proxies connect to each other. */
  private readonly relayUrls = new Map<string, string>();
  private readonly entryVms: readonly PresetEntryVm[];
  private readonly secrets = {
    callerPassword: createSecret(),
    backendPassword: createSecret(),
    tokenKey: createSecret(),
    peerKey: createSecret(),
    operatorKey: createSecret(),
  };
  private platformUrl = '';
  private adminUrl = '';
  private isDisposed = false;

  private constructor(private readonly options: DeploymentOptions) {
    this.entryVms = listPresetEntryVms(getPreset(options.preset));
  }

  static create(options: DeploymentOptions): Deployment {
    return new Deployment(options);
  }

  /** Starts all processes and waits until every proxy accepts a login. */
  async start(): Promise<DeploymentDescription> {
    await this.startStandin();
    for (const index of this.entryVms.keys()) {
      await this.registerVm(index, 'live');
      this.proxies[index] = this.createProxy(index);
    }
    for (const index of this.entryVms.keys()) {
      await this.waitForReadiness(index);
    }
    return this.describe();
  }

  describe(): DeploymentDescription {
    const {preset} = this.options;
    return {
      ready: true,
      preset,
      user: preset,
      password: this.secrets.callerPassword,
      databaseGroups: getPreset(preset).databaseGroups,
      proxies: this.entryVms.map((_, index) => this.describeProxy(index)),
      standinAdminUrl: this.adminUrl,
      platformUrl: this.platformUrl,
      peerUrls: this.entryVms.map((_, index) => this.getPeerUrl(index)),
      operatorKey: this.secrets.operatorKey,
      backendUser: BACKEND_USER,
      backendPassword: this.secrets.backendPassword,
    };
  }

  /** Process ID of a proxy; undefined if it was not started. */
  getProxyProcessId(index: number): number | undefined {
    return this.proxies[index]?.getProcessId();
  }

  /** Stops a proxy gracefully after announcing that its VM is leaving. */
  async stopProxy(index: number): Promise<void> {
    await this.registerVm(index, 'leaving');
    await this.proxies[index]?.stop();
    await this.deregisterVm(index);
  }

  /** Kills a proxy without warning, to simulate the failure of its VM. */
  async killProxy(index: number): Promise<void> {
    await this.proxies[index]?.kill();
    await this.deregisterVm(index);
  }

  /** Restarts a stopped or killed proxy and waits until it is ready. */
  async restartProxy(index: number): Promise<void> {
    await this.registerVm(index, 'live');
    this.proxies[index] = this.createProxy(index);
    await this.waitForReadiness(index);
  }

  /** Sends a command to the stand-in's admin interface. */
  async runAdminCommand(command: AdminCommand): Promise<void> {
    const {kind, ...fields} = command;
    const response = await fetch(`${this.adminUrl}/admin/${kind}`, {
      method: 'POST',
      body: JSON.stringify(fields),
    });
    if (!response.ok) {
      throw new Error(
        `The stand-in rejected the command: ${await response.text()}`,
      );
    }
  }

  /** Stops all processes that the deployment started. */
  async dispose(): Promise<void> {
    this.isDisposed = true;
    await Promise.all(this.proxies.map(proxy => proxy?.stop()));
    await this.standin?.stop();
  }

  private async startStandin(): Promise<void> {
    const {preset, portBase} = this.options;
    this.standin = this.createProgram('standin', [
      ['preset', preset],
      ['host', HOST],
      ['port-base', String(portBase + STANDIN_PORT_OFFSET)],
      ['backend-user', BACKEND_USER],
    ]);
    const line = await this.standin.readFirstLine();
    const ready = standinReadySchema.parse(JSON.parse(line));
    this.platformUrl = ready.platformUrl;
    this.adminUrl = ready.adminUrl;
  }

  private createProxy(index: number): ChildProgram {
    if (this.isDisposed) {
      throw new Error('Cannot start a proxy: the deployment was disposed');
    }
    const vm = this.getVm(index);
    const {portBase, preset, proxySettings = {}} = this.options;
    const environment = {
      FILBERTRUN_PEER_URL: this.relayUrls.get(vm.entryVm) ?? '',
    };
    const flags = [
      ['entry-vm', vm.entryVm],
      ['availability-zone', vm.availabilityZone],
      ['listen-host', HOST],
      ['listen-port', String(portBase + index)],
      ['operator-port', String(portBase + OPERATOR_PORT_OFFSET + index)],
      ['peer-port', String(portBase + PEER_PORT_OFFSET + index)],
      ['platform-url', this.platformUrl],
      ['source-address', vm.sourceAddress],
      ['caller-user', preset],
      ['backend-user', BACKEND_USER],
      ...Object.entries(proxySettings),
    ] as const;
    const proxy = this.createProgram('proxy', flags, environment);
    proxy.ignoreOutput();
    return proxy;
  }

  /**
   * Starts a program of the repository. Secrets are passed in the environment,
   * because `ps` shows the arguments of all processes.
   */
  private createProgram(
    name: 'proxy' | 'standin',
    flags: readonly (readonly [string, string])[],
    environment: Readonly<Record<string, string>> = {},
  ): ChildProgram {
    const {secrets} = this;
    return ChildProgram.create({
      name,
      scriptPath: path.join(ROOT_DIRECTORY, 'apps', name, 'dist', 'main.js'),
      args: flags.flatMap(([flag, value]) => [`--${flag}`, value]),
      environment: {
        ...environment,
        FILBERTRUN_CALLER_PASSWORD: secrets.callerPassword,
        FILBERTRUN_BACKEND_PASSWORD: secrets.backendPassword,
        FILBERTRUN_TOKEN_KEY: secrets.tokenKey,
        FILBERTRUN_PEER_KEY: secrets.peerKey,
        FILBERTRUN_OPERATOR_KEY: secrets.operatorKey,
      },
      showsLogs: this.options.showsLogs ?? true,
    });
  }

  private async waitForReadiness(index: number): Promise<void> {
    const {preset} = this.options;
    const {host, port, operatorUrl} = this.describeProxy(index);
    await waitForProxy({
      readyUrl: `${operatorUrl}/readyz`,
      host,
      port,
      user: preset,
      password: this.secrets.callerPassword,
      databaseGroup: getPreset(preset).databaseGroups[0] ?? '',
      hasEnded: () => this.proxies[index]?.hasEnded() ?? true,
    });
  }

  private describeProxy(index: number): DeployedProxy {
    const {portBase} = this.options;
    const {entryVm, availabilityZone} = this.getVm(index);
    const operatorPort = portBase + OPERATOR_PORT_OFFSET + index;
    return {
      entryVm,
      host: HOST,
      port: portBase + index,
      availabilityZone,
      operatorUrl: `http://${HOST}:${operatorPort}`,
    };
  }

  private getPeerUrl(index: number): string {
    const port = this.options.portBase + PEER_PORT_OFFSET + index;
    return `http://${HOST}:${port}`;
  }

  private getVm(index: number): PresetEntryVm {
    const vm = this.entryVms[index];
    if (vm === undefined) {
      throw new Error(`The preset has no entry VM with index ${index}`);
    }
    return vm;
  }

  private async registerVm(
    index: number,
    state: ListedVm['state'],
  ): Promise<void> {
    const {entryVm, availabilityZone} = this.getVm(index);
    const peerUrl = this.getPeerUrl(index);
    const response = await fetch(`${this.platformUrl}/vms/${entryVm}`, {
      method: 'PUT',
      body: JSON.stringify({availabilityZone, peerUrl, state}),
    });
    const listed = listedVmSchema.parse(await response.json());
    this.relayUrls.set(entryVm, listed.peerUrl);
  }

  private async deregisterVm(index: number): Promise<void> {
    const {entryVm} = this.getVm(index);
    await fetch(`${this.platformUrl}/vms/${entryVm}`, {method: 'DELETE'});
  }
}

function createSecret(): string {
  return randomBytes(SECRET_BYTES).toString('base64url');
}
