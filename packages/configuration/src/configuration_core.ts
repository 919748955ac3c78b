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
  readonly hasPlatformResponded: boolean;
  readonly hasPeerResponded: boolean;
  /**
   * Whether all peers queried at startup have responded or failed, or the
   * startup timeout has elapsed.
   */
  readonly haveAllResponded: boolean;
}

/** Events of the state machine. @public */
export type ConfigurationEvent =
  | {readonly type: 'platformResponded'; readonly version: number}
  | {readonly type: 'peerResponded'; readonly version: number}
  | {readonly type: 'allResponded'}
  | {readonly type: 'configurationObtained'; readonly held: HeldConfiguration}
  | {readonly type: 'disposed'};

const INITIAL_CONTEXT: ConfigurationContext = {
  held: null,
  newestKnownVersion: 0,
  hasPlatformResponded: false,
  hasPeerResponded: false,
  haveAllResponded: false,
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

/**
 * Whether the newest reported version is held, and either the platform has
 * responded, or a peer has and no other response is awaited.
 */
function isReady(context: ConfigurationContext): boolean {
  const {held, newestKnownVersion} = context;
  if (held === null || held.configuration.version < newestKnownVersion) {
    return false;
  }
  if (context.hasPlatformResponded) {
    return true;
  }
  return context.hasPeerResponded && context.haveAllResponded;
}

function reduceContext(
  context: ConfigurationContext,
  event: ConfigurationEvent,
): Partial<ConfigurationContext> {
  switch (event.type) {
    case 'platformResponded':
      return {
        ...recordVersion(context, event.version),
        hasPlatformResponded: true,
      };
    case 'peerResponded':
      return {...recordVersion(context, event.version), hasPeerResponded: true};
    case 'allResponded':
      return {haveAllResponded: true};
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
