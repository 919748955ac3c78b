import {
  applyConfigurationDelta,
  diffConfigurations,
  EMPTY_CONFIGURATION,
  type ConfigurationDelta,
} from './configuration_delta.js';
import type {ServiceConfiguration} from './service_configuration.js';

/**
 * Identifies the contents of a configuration. The version alone does not: after
 * the store was restored from a backup, another one may get its number.
 *
 * @public
 */
export interface ConfigurationIdentity {
  /** Revision of the table row. */
  readonly revision: number;
  readonly version: number;
}

/** A delta with the contents that it starts from and leads to. @public */
export interface IdentifiedDelta {
  /** Null if the delta holds all of the target. */
  readonly base: ConfigurationIdentity | null;
  /** Revision of the table row of the target. */
  readonly revision: number;
  readonly delta: ConfigurationDelta;
}

interface KnownConfiguration {
  readonly identity: ConfigurationIdentity;
  readonly configuration: ServiceConfiguration;
}

/** Number of versions to which a delta can be computed or applied. */
const MAX_VERSIONS = 8;

/**
 * Remembers the latest versions of the configuration, to send and receive only
 * what has changed since one of them.
 *
 * @public
 */
export class ConfigurationHistory {
  /** Oldest first. */
  private readonly known: KnownConfiguration[] = [];
  /** Deltas to the latest version, by the identity of their base. */
  private readonly deltas = new Map<string, IdentifiedDelta>();

  private constructor() {}

  static create(): ConfigurationHistory {
    return new ConfigurationHistory();
  }

  /** Identity of the latest recorded version; null before the first one. */
  get latest(): ConfigurationIdentity | null {
    return this.known.at(-1)?.identity ?? null;
  }

  /** Records a version that is newer than all recorded ones. */
  record(revision: number, configuration: ServiceConfiguration): void {
    const {version} = configuration;
    if (revision <= (this.latest?.revision ?? -1)) {
      return;
    }
    this.known.push({identity: {revision, version}, configuration});
    if (this.known.length > MAX_VERSIONS) {
      this.known.shift();
    }
    this.deltas.clear();
  }

  /**
   * The changes from a version to the latest one; all of the latest one if that
   * version is null or not remembered. Null before the first version.
   */
  getDeltaSince(base: ConfigurationIdentity | null): IdentifiedDelta | null {
    const target = this.known.at(-1);
    if (target === undefined) {
      return null;
    }
    const from = base === null ? null : this.find(base);
    const key = from === null ? '' : toKey(from.identity);
    const cached = this.deltas.get(key);
    if (cached !== undefined) {
      return cached;
    }
    const computed: IdentifiedDelta = {
      base: from?.identity ?? null,
      revision: target.identity.revision,
      delta: diffConfigurations(
        from?.configuration ?? EMPTY_CONFIGURATION,
        target.configuration,
      ),
    };
    this.deltas.set(key, computed);
    return computed;
  }

  /** Applies a delta of another proxy; null if its base is not remembered. */
  apply({base, delta}: IdentifiedDelta): ServiceConfiguration | null {
    if (base === null) {
      return applyConfigurationDelta(EMPTY_CONFIGURATION, delta);
    }
    const from = this.find(base);
    return from === null
      ? null
      : applyConfigurationDelta(from.configuration, delta);
  }

  private find(identity: ConfigurationIdentity): KnownConfiguration | null {
    const key = toKey(identity);
    return (
      this.known.find(candidate => toKey(candidate.identity) === key) ?? null
    );
  }
}

function toKey({revision, version}: ConfigurationIdentity): string {
  return `${revision}/${version}`;
}
