import type {Result} from '@filbertrun/base/result.js';
import {failure, success} from '@filbertrun/base/result.js';
import type {EntryVmId} from '@filbertrun/model/identifiers.js';
import {
  CONFIGURATION_KEY,
  type ObjectStore,
  type PlatformTable,
} from '@filbertrun/platform/platform_service.js';
import {
  parsePointer,
  type ConfigurationPointer,
} from './configuration_pointer.js';

/**
 * Where a proxy learns of the configuration: the platform, and its peers.
 *
 * @public
 */

/** Why a source gave nothing. @public */
export interface SourceError {
  readonly kind: 'sourceFailed';
  readonly reason: string;
}

/** A party that can be asked for the configuration. @public */
export interface ConfigurationSource {
  /** What the source holds; null when nothing was ever accepted. */
  getPointer(): Promise<Result<ConfigurationPointer | null, SourceError>>;
  /** Body of an object; null when the source does not hold it. */
  getBody(objectName: string): Promise<Result<string | null, SourceError>>;
}

/** The other proxies, as sources of the configuration. @public */
export interface ConfigurationPeers {
  /** Peers to ask now, nearest first; bounded by the implementation. */
  listPeers(): readonly EntryVmId[];
  /** Null when the peer is unknown. */
  getSource(entryVm: EntryVmId): ConfigurationSource | null;
  /** Number of proxies, this one included; it sets how often each one polls. */
  getProxyCount(): number;
}

/** The platform as a source of the configuration. @public */
export class PlatformConfigurationSource implements ConfigurationSource {
  private constructor(private readonly platform: PlatformTable & ObjectStore) {}

  static create(
    platform: PlatformTable & ObjectStore,
  ): PlatformConfigurationSource {
    return new PlatformConfigurationSource(platform);
  }

  async getPointer(): Promise<
    Result<ConfigurationPointer | null, SourceError>
  > {
    const entry = await this.platform.getEntry(CONFIGURATION_KEY);
    if (!entry.ok) {
      return failure({kind: 'sourceFailed', reason: entry.error.kind});
    }
    if (entry.value === null) {
      return success(null);
    }
    const pointer = parsePointer(entry.value.value);
    if (!pointer.ok) {
      return failure({kind: 'sourceFailed', reason: pointer.error.reason});
    }
    return pointer;
  }

  async getBody(
    objectName: string,
  ): Promise<Result<string | null, SourceError>> {
    const body = await this.platform.getObject(objectName);
    if (!body.ok) {
      return failure({kind: 'sourceFailed', reason: body.error.kind});
    }
    return body;
  }
}
