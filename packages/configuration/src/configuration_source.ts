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
 * Sources from which a proxy gets the configuration: the platform and peers.
 *
 * @public
 */

/** Why a request to a source failed. @public */
export interface SourceError {
  readonly kind: 'sourceFailed';
  readonly reason: string;
}

/** A source of the configuration. @public */
export interface ConfigurationSource {
  /**
   * Returns the pointer that the source holds; null if no change was ever
   * accepted.
   */
  getPointer(): Promise<Result<ConfigurationPointer | null, SourceError>>;
  /** Returns the body of an object; null if the source does not have it. */
  getBody(objectName: string): Promise<Result<string | null, SourceError>>;
}

/** The other proxies, as sources of the configuration. @public */
export interface ConfigurationPeers {
  /**
   * Returns the peers to query, nearest first; the implementation limits the
   * number.
   */
  listPeers(): readonly EntryVmId[];
  /** Returns the source for a peer; null if the peer is unknown. */
  getSource(entryVm: EntryVmId): ConfigurationSource | null;
  /** Returns the number of proxies including this one, for the poll rate. */
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
