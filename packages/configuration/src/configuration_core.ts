import type {Configuration} from '@filbertrun/model/configuration.js';
import {assign, setup} from 'xstate';
import {
  INITIAL_CONFIGURATION_STATE,
  type HeldConfiguration,
} from './plan_change.js';

/**
 * State machine of the configuration of a proxy. The proxy starts without a
 * configuration and becomes ready when it holds the newest version that the
 * platform or a peer has reported. After that it only accepts newer versions.
 *
 * @public
 */

/** Version number and hash of a configuration. @public */
export interface VersionName {
  readonly version: number;
  readonly objectName: string;
}

/** State from which readiness is derived. @public */
export interface ConfigurationContext {
  readonly held: HeldConfiguration | null;
  /** Newest version that the platform or a peer has reported. */
  readonly newestKnownVersion: number;
  readonly hasPlatformAnswered: boolean;
  readonly hasPeerAnswered: boolean;
  /**
   * Whether all sources queried at startup have responded, failed or timed out.
   */
  readonly haveAllAnswered: boolean;
}

/** Events of the state machine. @public */
export type ConfigurationEvent =
  | {readonly type: 'platformAnswered'; readonly version: number}
  | {readonly type: 'peerAnswered'; readonly version: number}
  | {readonly type: 'allAnswered'}
  | {readonly type: 'versionReported'; readonly version: number}
  | {readonly type: 'configurationObtained'; readonly held: HeldConfiguration}
  | {readonly type: 'disposed'};

const INITIAL_CONTEXT: ConfigurationContext = {
  held: null,
  newestKnownVersion: 0,
  hasPlatformAnswered: false,
  hasPeerAnswered: false,
  haveAllAnswered: false,
};

/** The state machine of the configuration of a proxy. @public */
export const configurationMachine = setup({
  types: {
    context: {} as ConfigurationContext,
    events: {} as ConfigurationEvent,
  },
  guards: {
    isReady: ({context}) => isReady(context),
  },
  actions: {
    applyEvent: assign(({context, event}) => reduceContext(context, event)),
  },
}).createMachine({
  id: 'configuration',
  context: INITIAL_CONTEXT,
  initial: 'notReady',
  on: {
    '*': {actions: 'applyEvent'},
    disposed: '.disposed',
  },
  states: {
    notReady: {always: {guard: 'isReady', target: 'ready'}},
    ready: {},
    disposed: {type: 'final'},
  },
});

/** Whether a version is newer than the held one, or none is held. @public */
export function isNewer(
  version: number,
  held: HeldConfiguration | null,
): boolean {
  return held === null || version > held.configuration.version;
}

/** Returns the held configuration, or null if there is none. @public */
export function getConfigurationInForce(
  context: ConfigurationContext,
): Configuration | null {
  return context.held?.configuration ?? null;
}

function isReady(context: ConfigurationContext): boolean {
  const {held, newestKnownVersion} = context;
  if (held === null || held.configuration.version < newestKnownVersion) {
    return false;
  }
  if (context.hasPlatformAnswered) {
    return true;
  }
  return context.hasPeerAnswered && context.haveAllAnswered;
}

function reduceContext(
  context: ConfigurationContext,
  event: ConfigurationEvent,
): Partial<ConfigurationContext> {
  switch (event.type) {
    case 'platformAnswered':
      return {
        ...recordVersion(context, event.version),
        hasPlatformAnswered: true,
      };
    case 'peerAnswered':
      return {...recordVersion(context, event.version), hasPeerAnswered: true};
    case 'allAnswered':
      return {haveAllAnswered: true};
    case 'versionReported':
      return recordVersion(context, event.version);
    case 'configurationObtained':
      return replaceHeld(context, event.held);
    case 'disposed':
      return {};
  }
}

/**
 * Records a reported version. Version 0 is the empty configuration; no fetch is
 * needed.
 */
function recordVersion(
  context: ConfigurationContext,
  version: number,
): Partial<ConfigurationContext> {
  const newestKnownVersion = Math.max(context.newestKnownVersion, version);
  const isEmpty = newestKnownVersion === 0 && context.held === null;
  return isEmpty
    ? {
        newestKnownVersion,
        held: INITIAL_CONFIGURATION_STATE,
      }
    : {newestKnownVersion};
}

function replaceHeld(
  context: ConfigurationContext,
  held: HeldConfiguration,
): Partial<ConfigurationContext> {
  const {version} = held.configuration;
  if (!isNewer(version, context.held)) {
    return {};
  }
  return {
    held,
    newestKnownVersion: Math.max(context.newestKnownVersion, version),
  };
}
