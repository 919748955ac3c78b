import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {Configuration} from '@filbertrun/model/configuration.js';
import type {EntryVmId} from '@filbertrun/model/identifiers.js';
import {runInBackground} from '@filbertrun/observability/background_task.js';
import type {Logger} from '@filbertrun/observability/logger.js';
import type {
  ObjectStore,
  PlatformTable,
} from '@filbertrun/platform/platform_service.js';
import {createActor, type Actor} from 'xstate';
import {encodeBody, parseBody} from './configuration_body.js';
import {
  configurationMachine,
  isNewer,
  type VersionName,
} from './configuration_core.js';
import type {ConfigurationPointer} from './configuration_pointer.js';
import {
  PlatformConfigurationSource,
  type ConfigurationPeers,
  type ConfigurationSource,
} from './configuration_source.js';
import type {HeldConfiguration} from './plan_change.js';
import {computePollDelayMs} from './poll_delay.js';
import {rebuildConfiguration} from './rebuild_configuration.js';

/**
 * Distribution of the accepted configuration to one proxy.
 *
 * @public
 */

/** Dependencies of a configuration manager. @public */
export interface ConfigurationManagerOptions {
  readonly platform: PlatformTable & ObjectStore;
  readonly peers: ConfigurationPeers;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Whether the proxy holds a configuration that it may use. @public */
export type ConfigurationReadiness = 'notReady' | 'ready' | 'disposed';

/**
 * Response to a peer that asks for the pointer. A proxy that isn't ready does
 * not know which configuration is accepted, so it must not report an empty one.
 *
 * @public
 */
export type PointerResponse =
  | {readonly kind: 'notReady'}
  | {readonly kind: 'held'; readonly pointer: ConfigurationPointer | null};

type ConfigurationListener = (configuration: Configuration) => void;

/**
 * Maximum random delay before the first poll, to spread simultaneous starts.
 */
const START_JITTER_MS = 300;

/** Maximum number of concurrent fetches that announcements may start. */
const MAX_ANNOUNCED_FETCHES = 2;

/** Time after startup at which missing responses are treated as failures. */
const START_TIMEOUT_MS = 3000;

/**
 * Keeps the configuration of a proxy up to date by polling the platform, and
 * peers while the proxy isn't ready, and by following announcements of peers.
 *
 * @public
 */
export class ConfigurationManager {
  private readonly actor: Actor<typeof configurationMachine>;
  private readonly platformSource: ConfigurationSource;
  private readonly listeners = new Set<ConfigurationListener>();
  private readonly fetchesInProgress = new Set<string>();
  private pollTimer: Timer | null = null;
  private startTimer: Timer | null = null;
  private failedPollCount = 0;
  private announcedFetchCount = 0;
  private isDisposed = false;

  private constructor(private readonly options: ConfigurationManagerOptions) {
    this.actor = createActor(configurationMachine);
    this.platformSource = PlatformConfigurationSource.create(options.platform);
  }

  /** Creates a manager and starts queries to the platform and the peers. */
  static create(options: ConfigurationManagerOptions): ConfigurationManager {
    const manager = new ConfigurationManager(options);
    manager.start();
    return manager;
  }

  /** Whether the manager holds a configuration that may be used. */
  getReadiness(): ConfigurationReadiness {
    return this.actor.getSnapshot().value;
  }

  /** Returns the configuration in force; null until the manager is ready. */
  getCurrent(): Configuration | null {
    if (this.getReadiness() === 'notReady') {
      return null;
    }
    return this.getHeld()?.configuration ?? null;
  }

  /** Returns the held version, or 0 if none is held. It never decreases. */
  getVersion(): number {
    return this.getHeld()?.configuration.version ?? 0;
  }

  /**
   * Returns the held version and its hash for announcements; null if none is
   * held.
   */
  getVersionName(): VersionName | null {
    const pointer = this.getPointer();
    return pointer === null
      ? null
      : {version: pointer.version, objectName: pointer.objectName};
  }

  /** Returns the pointer of the held version. */
  getPointer(): ConfigurationPointer | null {
    return this.getHeld()?.pointer ?? null;
  }

  /** Returns the response to a peer that asks for the pointer. */
  getPointerResponse(): PointerResponse {
    if (this.getReadiness() === 'notReady') {
      return {kind: 'notReady'};
    }
    return {kind: 'held', pointer: this.getPointer()};
  }

  /** Returns the held body for a peer; null if its name is a different one. */
  getBody(objectName: string): string | null {
    const held = this.getHeld();
    if (held === null || held.pointer?.objectName !== objectName) {
      return null;
    }
    return encodeBody(held.configuration);
  }

  /**
   * Calls `listener` with the current configuration and with each later one.
   * Returns a function that unsubscribes it.
   */
  onChange(listener: ConfigurationListener): () => void {
    this.listeners.add(listener);
    const current = this.getCurrent();
    if (current !== null) {
      listener(current);
    }
    return () => {
      this.listeners.delete(listener);
    };
  }

  /**
   * Handles the announcement of a peer's version and fetches it if it is newer.
   */
  handleAnnouncement(entryVm: EntryVmId, version: number): void {
    if (this.isDisposed || version === 0 || !isNewer(version, this.getHeld())) {
      return;
    }
    const source = this.options.peers.getSource(entryVm);
    if (source !== null && this.announcedFetchCount < MAX_ANNOUNCED_FETCHES) {
      runInBackground(
        this.options.logger,
        'fetch',
        this.fetchAnnouncedVersion(source, `peer ${entryVm}`),
      );
    }
  }

  /**
   * Polls the platform immediately, for example after a change was accepted.
   */
  async refresh(): Promise<void> {
    await this.updateFromPlatform();
  }

  /**
   * Queries the platform and the peers in parallel. Resolves when the first
   * response has been processed, including the fetch of a newer version, or
   * when all of them have failed.
   */
  async catchUp(): Promise<void> {
    const asked = [rejectUnlessResponded(this.updateFromPlatform())];
    for (const entryVm of this.options.peers.listPeers()) {
      const source = this.options.peers.getSource(entryVm);
      if (source !== null) {
        const update = this.updateFromPeer(source, `peer ${entryVm}`);
        asked.push(rejectUnlessResponded(update));
      }
    }
    await Promise.any(asked).catch(() => {});
  }

  /** Stops polling. The held configuration can still be read. */
  dispose(): void {
    this.isDisposed = true;
    this.pollTimer?.cancel();
    this.startTimer?.cancel();
    this.listeners.clear();
    this.actor.send({type: 'disposed'});
  }

  private start(): void {
    this.actor.start();
    this.startTimer = this.options.clock.startTimer(START_TIMEOUT_MS, () => {
      this.notifyIfBecameReady(() => this.actor.send({type: 'allResponded'}));
    });
    runInBackground(
      this.options.logger,
      'query of peers',
      this.queryPeersBeforeReady(),
    );
    const delayMs = START_JITTER_MS * this.options.random.nextFloat();
    this.pollTimer = this.options.clock.startTimer(delayMs, () => {
      runInBackground(this.options.logger, 'poll', this.poll());
    });
  }

  private async queryPeersBeforeReady(): Promise<void> {
    const asked: Promise<boolean>[] = [];
    for (const entryVm of this.options.peers.listPeers()) {
      const source = this.options.peers.getSource(entryVm);
      if (source !== null) {
        asked.push(this.updateFromPeer(source, `peer ${entryVm}`));
      }
    }
    await Promise.all(asked);
    if (asked.length > 0 && !this.isDisposed) {
      this.notifyIfBecameReady(() => this.actor.send({type: 'allResponded'}));
    }
  }

  private async poll(): Promise<void> {
    const hasResponded = await this.updateFromPlatform();
    if (this.isDisposed) {
      return;
    }
    this.failedPollCount = hasResponded ? 0 : this.failedPollCount + 1;
    if (this.getReadiness() === 'notReady' && !hasResponded) {
      runInBackground(
        this.options.logger,
        'query of peers',
        this.queryPeersBeforeReady(),
      );
    }
    const delayMs = computePollDelayMs(
      this.options.peers.getProxyCount(),
      this.failedPollCount,
      this.options.random,
    );
    this.pollTimer = this.options.clock.startTimer(delayMs, () => {
      runInBackground(this.options.logger, 'poll', this.poll());
    });
  }

  private async updateFromPlatform(): Promise<boolean> {
    const pointer = await this.platformSource.getPointer();
    if (this.isDisposed || !pointer.ok) {
      return false;
    }
    const version = pointer.value?.version ?? 0;
    this.notifyIfBecameReady(() =>
      this.actor.send({type: 'platformResponded', version}),
    );
    await this.fetchIfNewer(pointer.value, this.platformSource, 'platform');
    return true;
  }

  private async fetchAnnouncedVersion(
    source: ConfigurationSource,
    sourceName: string,
  ): Promise<void> {
    this.announcedFetchCount++;
    await this.updateFromPeer(source, sourceName);
    this.announcedFetchCount--;
  }

  private async updateFromPeer(
    source: ConfigurationSource,
    sourceName: string,
  ): Promise<boolean> {
    const pointer = await source.getPointer();
    if (this.isDisposed || !pointer.ok) {
      return false;
    }
    const version = pointer.value?.version ?? 0;
    this.notifyIfBecameReady(() =>
      this.actor.send({type: 'peerResponded', version}),
    );
    await this.fetchIfNewer(pointer.value, source, sourceName);
    return true;
  }

  private async fetchIfNewer(
    pointer: ConfigurationPointer | null,
    source: ConfigurationSource,
    sourceName: string,
  ): Promise<void> {
    if (pointer === null || !isNewer(pointer.version, this.getHeld())) {
      return;
    }
    const fetchKey = `${pointer.version} ${sourceName}`;
    if (this.fetchesInProgress.has(fetchKey)) {
      return;
    }
    this.fetchesInProgress.add(fetchKey);
    const configuration = await this.getConfiguration(pointer, source);
    this.fetchesInProgress.delete(fetchKey);
    if (configuration !== null && !this.isDisposed) {
      this.applyConfiguration({pointer, configuration}, sourceName);
    }
  }

  private async getConfiguration(
    pointer: ConfigurationPointer,
    source: ConfigurationSource,
  ): Promise<Configuration | null> {
    const held = this.getHeld();
    if (held !== null) {
      const rebuilt = rebuildConfiguration(held.configuration, pointer);
      if (rebuilt !== null) {
        return rebuilt;
      }
    }
    const sources =
      source === this.platformSource
        ? this.getBodySources()
        : [source, this.platformSource];
    for (const candidate of sources) {
      const configuration = await fetchBody(candidate, pointer);
      if (configuration !== null) {
        return configuration;
      }
    }
    return null;
  }

  private getBodySources(): readonly ConfigurationSource[] {
    const sources = [this.platformSource];
    for (const entryVm of this.options.peers.listPeers()) {
      const source = this.options.peers.getSource(entryVm);
      if (source !== null) {
        sources.push(source);
      }
    }
    return sources;
  }

  private applyConfiguration(
    held: HeldConfiguration,
    sourceName: string,
  ): void {
    const before = this.getVersion();
    if (!isNewer(held.configuration.version, this.getHeld())) {
      return;
    }
    this.actor.send({type: 'configurationObtained', held});
    this.options.logger.info('configuration_in_force', {
      version: held.configuration.version,
      previousVersion: before,
      objectName: held.pointer?.objectName,
      source: sourceName,
    });
    this.notify();
  }

  /** Runs a step and notifies the listeners if it made the manager ready. */
  private notifyIfBecameReady(step: () => void): void {
    const before = this.getReadiness();
    step();
    if (before === 'notReady' && this.getReadiness() === 'ready') {
      this.notify();
    }
  }

  private notify(): void {
    const current = this.getCurrent();
    if (current === null) {
      return;
    }
    for (const listener of this.listeners) {
      listener(current);
    }
  }

  private getHeld(): HeldConfiguration | null {
    return this.actor.getSnapshot().context.held;
  }
}

async function fetchBody(
  source: ConfigurationSource,
  pointer: ConfigurationPointer,
): Promise<Configuration | null> {
  const body = await source.getBody(pointer.objectName);
  if (!body.ok || body.value === null) {
    return null;
  }
  const parsed = parseBody(body.value, pointer.objectName);
  if (!parsed.ok || parsed.value.version !== pointer.version) {
    return null;
  }
  return parsed.value;
}

/** Rejects if the source did not respond. */
async function rejectUnlessResponded(asked: Promise<boolean>): Promise<void> {
  if (!(await asked)) {
    throw new Error('configuration source did not respond');
  }
}
