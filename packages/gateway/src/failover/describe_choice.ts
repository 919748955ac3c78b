import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {ListingDescription} from '../directory/known_instances.js';
import type {
  ChoiceInstance,
  PromotionEvent,
} from '../observability/promotion_event.js';
import {findRequirement} from './choose_promotion_target.js';
import type {InstanceFences} from './instance_fences.js';
import type {ReleaseCollector} from './release_collector.js';

/** Describes the choice of a promotion target for the log. */

/** What a choice rested on. @public */
export interface ChoiceInputs {
  readonly databaseGroup: string;
  readonly changeId: string;
  readonly oldPrimary: string;
  readonly oldTerm: number;
  readonly target: string;
  readonly position: LogPosition;
  readonly entries: readonly BackendServerEntry[];
  readonly fences: InstanceFences;
  readonly releases: ReleaseCollector;
  readonly listing: ListingDescription | null;
  readonly recordAgeMs: number;
  readonly changeAgeMs: number;
}

/** Most instances in one line; a group has a few. */
const MAX_INSTANCES = 16;

/** Most proxies in one line. With it, a line stays below some 10 KB. */
const MAX_PROXIES = 32;

/** Returns the log event of a choice. @public */
export function describeChoice(
  inputs: ChoiceInputs,
): Extract<PromotionEvent, {readonly kind: 'promotionTargetChosen'}> {
  const {entries, fences, releases, listing} = inputs;
  const requirement = findRequirement(
    fences.describe(entries),
    releases.highestAcknowledged,
  );
  const isKnown = requirement.kind === 'known';
  return {
    kind: 'promotionTargetChosen',
    databaseGroup: inputs.databaseGroup,
    changeId: inputs.changeId,
    oldPrimary: inputs.oldPrimary,
    oldTerm: inputs.oldTerm,
    target: inputs.target,
    position: inputs.position,
    requiredPosition: isKnown ? requirement.position : null,
    requirementSource: isKnown ? requirement.source : null,
    instances: describeInstances(inputs),
    instanceCount: entries.length,
    hasCompleteHistory: listing?.hasCompleteHistory ?? null,
    historyAgeMs: listing?.historyAgeMs ?? null,
    listingAgeMs: listing?.listingAgeMs ?? null,
    proxies: releases.describe(MAX_PROXIES),
    proxyCount: releases.proxyCount,
    recordAgeMs: inputs.recordAgeMs,
    changeAgeMs: inputs.changeAgeMs,
  };
}

function describeInstances({
  entries,
  fences,
  listing,
}: ChoiceInputs): readonly ChoiceInstance[] {
  const shown = entries.slice(0, MAX_INSTANCES);
  return fences.describeForLog(shown).map(instance => ({
    ...instance,
    source: listing?.sources.get(instance.backendServer) ?? null,
  }));
}
