import type {Configuration} from '@filbertrun/model/configuration.js';
import {assign, setup} from 'xstate';
import {
  INITIAL_CONFIGURATION_STATE,
  type HeldConfiguration,
} from './plan_change.js';

/**
 * The lifecycle of the configuration in one proxy: it starts without one,
 * becomes ready once it holds the newest version that it could learn of, and
 * from then on takes newer versions only.
 *
 * @public
 */

/** Names a version by number and hash. @public */
export interface VersionName {
  readonly version: number;
  readonly objectName: string;
}

/** What the configuration of one proxy depends on. @public */
export interface ConfigurationContext {
  readonly held: HeldConfiguration | null;
  /** Newest version that the proxy has heard of. */
  readonly newestKnownVersion: number;
  readonly hasPlatformAnswered: boolean;
  readonly hasPeerAnswered: boolean;
  /** Whether each party asked at the start has answered or failed. */
  readonly haveAllAnswered: boolean;
}

/** What can happen to the configuration of one proxy. @public */
export type ConfigurationEvent =
  | {readonly type: 'platformAnswered'; readonly version: number}
  | {readonly type: 'peerAnswered'; readonly version: number}
  | {readonly type: 'allAnswered'}
  | {readonly type: 'versionHeard'; readonly version: number}
  | {readonly type: 'configurationObtained'; readonly held: HeldConfiguration}
  | {readonly type: 'disposed'};

const INITIAL_CONTEXT: ConfigurationContext = {
  held: null,
  newestKnownVersion: 0,
  hasPlatformAnswered: false,
  hasPeerAnswered: false,
  haveAllAnswered: false,
};

/** The state machine of the configuration in one proxy. @public */
export const configurationMachine = setup({
  types: {
    context: {} as ConfigurationContext,
    events: {} as ConfigurationEvent,
  },
  guards: {
    isReady: ({context}) => isReady(context),
  },
  actions: {
    takeEvent: assign(({context, event}) => reduceContext(context, event)),
  },
}).createMachine({
  id: 'configuration',
  context: INITIAL_CONTEXT,
  initial: 'notReady',
  on: {
    '*': {actions: 'takeEvent'},
    disposed: '.disposed',
  },
  states: {
    notReady: {always: {guard: 'isReady', target: 'ready'}},
    ready: {},
    disposed: {type: 'final'},
  },
});

/** Whether a version may replace the one that is held. @public */
export function isNewer(
  version: number,
  held: HeldConfiguration | null,
): boolean {
  return held === null || version > held.configuration.version;
}

/** The configuration in force, or null before the proxy is ready. @public */
export function getConfigurationInForce(
  context: ConfigurationContext,
): Configuration | null {
  return context.held?.configuration ?? null;
}

function isReady(context: ConfigurationContext): boolean {
  const {held, newestKnownVersion: newestHeardVersion} = context;
  if (held === null || held.configuration.version < newestHeardVersion) {
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
    case 'versionHeard':
      return recordVersion(context, event.version);
    case 'configurationObtained':
      return replaceHeld(context, event.held);
    case 'disposed':
      return {};
  }
}

/** Notes a version; version 0 is the empty configuration and needs no fetch. */
function recordVersion(
  context: ConfigurationContext,
  version: number,
): Partial<ConfigurationContext> {
  const newestHeardVersion = Math.max(context.newestKnownVersion, version);
  const isEmpty = newestHeardVersion === 0 && context.held === null;
  return isEmpty
    ? {
        newestKnownVersion: newestHeardVersion,
        held: INITIAL_CONFIGURATION_STATE,
      }
    : {newestKnownVersion: newestHeardVersion};
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
