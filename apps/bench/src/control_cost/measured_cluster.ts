import {randomBytes} from 'node:crypto';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {ChildProgram} from '@filbertrun/standin/child_program.js';
import type {MemberHostOptions} from './member_host.js';
import {
  PROBE_FILE_VARIABLE,
  resourceUsageSchema,
  type ResourceUsage,
} from './resource_usage.js';

/**
 * Runs one real proxy, with a resource probe, in a cluster of lightweight
 * members and database groups.
 */

/** Size of a cluster. @public */
export interface ClusterSize {
  /** Number of proxies, including the measured one. */
  readonly memberCount: number;
  readonly groupCount: number;
}

/** Resource usage of the measured proxy. @public */
export interface ControlCost {
  readonly controlBytesPerSecond: number;
  readonly peerBytesPerSecond: number;
  readonly platformBytesPerSecond: number;
  readonly instanceBytesPerSecond: number;
  /** Utilization of one core, in percent. */
  readonly cpuPercent: number;
  readonly heapMb: number;
  readonly residentMb: number;
}

const ZONE_COUNT = 7;
const MEMBERS_PER_HOST = 50;
const HOST = '127.0.0.1';
const USER = 'bench';
const PROBE_POLL_MS = 20;
const PROBE_TIMEOUT_MS = 10_000;
const READY_POLL_MS = 100;
const READY_TIMEOUT_MS = 60_000;
const BYTES_PER_MB = 1024 * 1024;
const SECRET_BYTES = 12;

const DIST_DIRECTORY = path.dirname(fileURLToPath(import.meta.url));
const PROXY_SCRIPT = path.resolve(
  DIST_DIRECTORY,
  '../../../proxy/dist/main.js',
);
const PROBE_SCRIPT = path.join(DIST_DIRECTORY, 'resource_probe.js');

/** Offsets of the ports from `portBase`. */
const OPERATOR_PORT_OFFSET = 1;
const FIRST_PEER_PORT_OFFSET = 2;

/** A cluster with one measured proxy. @public */
export class MeasuredCluster {
  private readonly programs: ChildProgram[] = [];
  private readonly directory = mkdtempSync(
    path.join(os.tmpdir(), 'filbertrun-bench-'),
  );
  private readonly secret = randomBytes(SECRET_BYTES).toString('hex');
  private platformPort = '';
  private proxy: ChildProgram | null = null;

  private constructor(
    private readonly size: ClusterSize,
    private readonly portBase: number,
  ) {}

  static create(size: ClusterSize, portBase: number): MeasuredCluster {
    return new MeasuredCluster(size, portBase);
  }

  /** Starts all processes; resolves when the proxy is ready. */
  async start(): Promise<void> {
    const platformUrl = await this.startClusterStandin();
    this.platformPort = new URL(platformUrl).port;
    const members = this.createMembers();
    for (const member of members) {
      await this.registerMember(platformUrl, member);
    }
    // The first member is the measured proxy; host processes run the others.
    for (let index = 1; index < members.length; index += MEMBERS_PER_HOST) {
      const hosted = members.slice(index, index + MEMBERS_PER_HOST);
      await this.startMemberHost(platformUrl, hosted);
    }
    const [first] = members;
    if (first === undefined) {
      throw new RangeError('A cluster must have at least one member.');
    }
    this.proxy = this.startProxy(platformUrl, first);
    await this.waitUntilReady();
  }

  /** Measures the resource usage of the proxy over a period. */
  async measure(durationMs: number): Promise<ControlCost> {
    const before = await this.readUsage();
    const startMs = performance.now();
    await delay(durationMs);
    const after = await this.readUsage();
    const seconds = (performance.now() - startMs) / 1000;
    return this.createCost(before, after, seconds);
  }

  /** Stops all processes and removes the temporary directory. */
  async dispose(): Promise<void> {
    await Promise.all(this.programs.map(program => program.kill()));
    rmSync(this.directory, {recursive: true});
  }

  private createMembers(): MemberHostOptions['members'] {
    const members = [];
    for (let index = 0; index < this.size.memberCount; index += 1) {
      members.push({
        entryVm: `member-${index + 1}`,
        availabilityZone: `zone-${(index % ZONE_COUNT) + 1}`,
        port: this.portBase + FIRST_PEER_PORT_OFFSET + index,
      });
    }
    return members;
  }

  private async startClusterStandin(): Promise<string> {
    const standin = this.startProgram('cluster_world', {
      zoneCount: ZONE_COUNT,
      groupCount: this.size.groupCount,
      user: USER,
      password: this.secret,
    });
    const line = await standin.readFirstLine();
    const {platformUrl} = JSON.parse(line) as {platformUrl: string};
    return platformUrl;
  }

  private async registerMember(
    platformUrl: string,
    member: MemberHostOptions['members'][number],
  ): Promise<void> {
    const {entryVm, availabilityZone, port} = member;
    const response = await fetch(`${platformUrl}/vms/${entryVm}`, {
      method: 'PUT',
      body: JSON.stringify({
        availabilityZone,
        peerUrl: `http://${HOST}:${port}`,
        state: 'live',
      }),
    });
    if (!response.ok) {
      throw new Error(
        `The platform rejected entry VM ${entryVm}: ${response.status}`,
      );
    }
  }

  private async startMemberHost(
    platformUrl: string,
    members: MemberHostOptions['members'],
  ): Promise<void> {
    const host = this.startProgram('member_host', {
      platformUrl,
      peerKey: this.secret,
      members,
    });
    await host.readFirstLine();
  }

  private startProgram(name: string, argument: object): ChildProgram {
    const program = ChildProgram.create({
      name,
      scriptPath: path.join(DIST_DIRECTORY, `${name}.js`),
      args: [JSON.stringify(argument)],
      environment: {},
      showsLogs: true,
    });
    this.programs.push(program);
    return program;
  }

  private startProxy(
    platformUrl: string,
    member: MemberHostOptions['members'][number],
  ): ChildProgram {
    const settings = {
      'entry-vm': member.entryVm,
      'availability-zone': member.availabilityZone,
      'listen-port': String(this.portBase),
      'operator-port': String(this.portBase + OPERATOR_PORT_OFFSET),
      'peer-port': String(member.port),
      'platform-url': platformUrl,
      'backend-user': USER,
      'log-level': 'warn',
    };
    const program = ChildProgram.create({
      name: 'proxy',
      scriptPath: PROXY_SCRIPT,
      args: Object.entries(settings).flatMap(([flag, value]) => [
        `--${flag}`,
        value,
      ]),
      environment: {
        FILBERTRUN_CALLER_PASSWORD: this.secret,
        FILBERTRUN_BACKEND_PASSWORD: this.secret,
        FILBERTRUN_TOKEN_KEY: this.secret,
        FILBERTRUN_PEER_KEY: this.secret,
        FILBERTRUN_OPERATOR_KEY: this.secret,
        NODE_OPTIONS: `--expose-gc --import ${PROBE_SCRIPT}`,
        [PROBE_FILE_VARIABLE]: this.getProbeFile(),
      },
      showsLogs: true,
    });
    program.ignoreOutput();
    this.programs.push(program);
    return program;
  }

  private async waitUntilReady(): Promise<void> {
    const url = `http://${HOST}:${this.portBase + OPERATOR_PORT_OFFSET}/readyz`;
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < deadlineMs) {
      const isReady = await fetch(url).then(
        response => response.ok,
        () => false,
      );
      if (isReady) {
        return;
      }
      await delay(READY_POLL_MS);
    }
    throw new Error('The measured proxy did not become ready.');
  }

  private getProbeFile(): string {
    return path.join(this.directory, 'usage.json');
  }

  private async readUsage(): Promise<ResourceUsage> {
    const processId = this.proxy?.getProcessId();
    if (processId === undefined) {
      throw new Error('The measured proxy is not running.');
    }
    rmSync(this.getProbeFile(), {force: true});
    process.kill(processId, 'SIGUSR2');
    const deadlineMs = performance.now() + PROBE_TIMEOUT_MS;
    while (performance.now() < deadlineMs) {
      await delay(PROBE_POLL_MS);
      try {
        const text = readFileSync(this.getProbeFile(), 'utf8');
        return resourceUsageSchema.parse(JSON.parse(text));
      } catch {
        continue;
      }
    }
    throw new Error('The probe of the measured proxy did not respond.');
  }

  private createCost(
    before: ResourceUsage,
    after: ResourceUsage,
    seconds: number,
  ): ControlCost {
    const totals = {peer: 0, platform: 0, instance: 0};
    for (const [port, bytes] of Object.entries(after.bytesByPort)) {
      const spent = bytes - (before.bytesByPort[port] ?? 0);
      totals[this.classifyPort(port)] += spent;
    }
    const sum = totals.peer + totals.platform + totals.instance;
    return {
      controlBytesPerSecond: sum / seconds,
      peerBytesPerSecond: totals.peer / seconds,
      platformBytesPerSecond: totals.platform / seconds,
      instanceBytesPerSecond: totals.instance / seconds,
      cpuPercent: (after.cpuMs - before.cpuMs) / seconds / 10,
      heapMb: after.heapBytes / BYTES_PER_MB,
      residentMb: after.residentBytes / BYTES_PER_MB,
    };
  }

  private classifyPort(port: string): 'peer' | 'platform' | 'instance' {
    if (port === this.platformPort) {
      return 'platform';
    }
    const offset = Number(port) - this.portBase;
    const isPeer =
      offset >= 0 && offset < FIRST_PEER_PORT_OFFSET + this.size.memberCount;
    return isPeer ? 'peer' : 'instance';
  }
}
