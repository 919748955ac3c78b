import type {Mutant} from './mutant.js';
import {reportAllPaused} from './mutant_wrappers.js';
import {
  confirmWithoutGroups,
  expireOtherLeases,
  forgetEarlyReleases,
  omitRegistration,
  refuseUnnamed,
  releaseUnresponsive,
  understateContactWindow,
} from './promotion_mutant_wrappers.js';
import {
  CONFIRMED_WITHOUT_CONFIGURATION,
  CUT_OFF_DRAINING,
  CUT_OFF_WITH_PAUSED_REPLICA,
  LATE_CONFIGURATION,
  RESTARTED_REPLICA,
  UNLISTED_SUCCESSOR,
  WRITES_DURING_PROMOTION,
} from './promotion_plans.js';

/**
 * Mutants of the rules by which a change of primary knows that no proxy can
 * acknowledge a write of the old term any more, and which logs hold those that
 * were acknowledged.
 */

/**
 * A proxy that uses a primary for longer than it registered. While replicas are
 * paused, its writes during a promotion are not confirmed.
 *
 * @internal
 */
export const OVERSTAYING_PROXY = {
  plans: WRITES_DURING_PROMOTION,
  mutate: understateContactWindow,
  rules: ['lostCommit', 'acknowledgedByReplaced'],
} as const;

/** All mutants of this file. @internal */
export const PROMOTION_MUTANTS: readonly Mutant[] = [
  {
    name: 'a proxy that does not respond counts as released, and reads go on',
    plans: CUT_OFF_DRAINING,
    rules: ['staleRead'],
    mutate: options => ({
      ...options,
      peers: releaseUnresponsive(options.peers),
    }),
  },
  {
    name: 'a proxy that does not respond counts as released, and writes go on',
    plans: CUT_OFF_WITH_PAUSED_REPLICA,
    rules: ['acknowledgedByReplaced'],
    mutate: options => ({
      ...options,
      peers: releaseUnresponsive(options.peers),
    }),
  },
  {
    name: 'a target is chosen while a proxy may still acknowledge',
    plans: CUT_OFF_WITH_PAUSED_REPLICA,
    rules: ['acknowledgedByReplaced'],
    mutate: options => ({...options, controlTable: expireOtherLeases(options)}),
  },
  {
    name: 'a restart ends the pause of a replica while a proxy may still acknowledge',
    plans: RESTARTED_REPLICA,
    rules: ['lostCommit'],
    mutate: options => ({...options, controlTable: expireOtherLeases(options)}),
  },
  {
    name: 'a proxy without contact acknowledges writes',
    plans: CUT_OFF_WITH_PAUSED_REPLICA,
    rules: ['acknowledgedByReplaced'],
    mutate: understateContactWindow,
  },
  {
    name: 'replication is not paused before a promotion',
    plans: OVERSTAYING_PROXY.plans,
    rules: OVERSTAYING_PROXY.rules,
    // Without the pause, only the end of all acknowledgements keeps the commits, so
    // the mutant also lets a proxy acknowledge for too long.
    mutate: options =>
      understateContactWindow({
        ...options,
        instances: reportAllPaused(options.instances),
      }),
  },
  {
    name: 'a process without a configuration forgets a release',
    plans: LATE_CONFIGURATION,
    rules: ['staleRead'],
    mutate: forgetEarlyReleases,
  },
  {
    name: 'a process without a configuration confirms primary records',
    plans: CONFIRMED_WITHOUT_CONFIGURATION,
    rules: ['staleRead'],
    mutate: confirmWithoutGroups,
  },
  {
    name: 'a process that is not registered acknowledges writes',
    plans: CUT_OFF_WITH_PAUSED_REPLICA,
    rules: ['acknowledgedByReplaced'],
    mutate: options => ({...options, controlTable: omitRegistration(options)}),
  },
  {
    name: 'the log of an unlisted successor is left out',
    plans: UNLISTED_SUCCESSOR,
    rules: ['lostCommit'],
    mutate: options => ({
      ...options,
      instances: refuseUnnamed(options.instances),
    }),
  },
];
