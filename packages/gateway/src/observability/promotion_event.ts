import type {LogPosition} from '@filbertrun/model/log_position.js';

/**
 * Log events of one promotion. They hold what the choice of the target rested on
 * and how old that was when the promotion took effect, so that a promotion that
 * lacked acknowledged commits can be explained from logs alone.
 */

/** How the failover leader knows an instance. @public */
export type InstanceSource =
  /** The directory table listed it. */
  | 'listed'
  /** The table listed it earlier; its entry has lapsed or was removed. */
  | 'remembered'
  /** Only the stored roster of the group names it. */
  | 'roster';

/** Replication state of an instance, as it responded. @public */
export interface ReportedState {
  readonly role: 'primary' | 'replica';
  readonly term: number;
  readonly receivedPosition: LogPosition;
  /** 0 if replication is not paused. */
  readonly pausedTerm: number;
  readonly startedAtEpochMs: number | null;
}

/** An instance that the choice of a target considered or left out. @public */
export interface ChoiceInstance {
  readonly backendServer: string;
  /** Null for an instance that is known from an earlier listing only. */
  readonly source: InstanceSource | null;
  readonly state: 'active' | 'draining';
  /** Start time in the entry that the choice used. */
  readonly startedAtEpochMs: number | null;
  readonly isOldPrimary: boolean;
  /** Last response to a fence request; null if there was none. */
  readonly reported: ReportedState | null;
  /** Age of that response. */
  readonly fenceAgeMs: number | null;
  /** Why the choice did not count its log; null if it did. */
  readonly exclusion: string | null;
}

/** A proxy that was asked to release the old primary. @public */
export interface AskedProxy {
  readonly entryVm: string;
  readonly isReleased: boolean;
  /** Time since its response arrived. */
  readonly releaseAgeMs: number | null;
  /**
   * Whether the process that responded is the one that had registered; null
   * without a response.
   */
  readonly isRegisteredProcess: boolean | null;
  readonly highestAcknowledged: LogPosition | null;
  /** Time until its lease ends; negative after that. */
  readonly leaseEndInMs: number;
}

/** What set the position that a target has to hold. @public */
export type RequirementSource = 'pausedReplicas' | 'oldPrimary' | 'proxies';

/** Who gave the order that took effect. @public */
export type OrderSource =
  | 'thisLeader'
  /** The record of the change named the target when this leader read it. */
  | 'earlierLeader'
  /** No order of this change is known for that instance. */
  | 'unknown';

/** An event of a promotion. @public */
export type PromotionEvent =
  /** Recorded right before the target is written to the record. */
  | {
      readonly kind: 'promotionTargetChosen';
      readonly databaseGroup: string;
      readonly changeId: string;
      readonly oldPrimary: string;
      readonly oldTerm: number;
      readonly target: string;
      readonly position: LogPosition;
      readonly requiredPosition: LogPosition | null;
      readonly requirementSource: RequirementSource | null;
      /** The first ones; `instanceCount` counts all. */
      readonly instances: readonly ChoiceInstance[];
      readonly instanceCount: number;
      /**
       * Whether this process has watched the directory for long enough to know
       * all recently removed instances.
       */
      readonly hasCompleteHistory: boolean | null;
      /** Time for which it has watched the directory. */
      readonly historyAgeMs: number | null;
      /** Age of the listing of instances. */
      readonly listingAgeMs: number | null;
      /** The first ones; `proxyCount` counts all. */
      readonly proxies: readonly AskedProxy[];
      readonly proxyCount: number;
      /** Time since this process first saw the record it began with. */
      readonly recordAgeMs: number;
      /** Time since this process began or resumed the change. */
      readonly changeAgeMs: number;
    }
  | {
      readonly kind: 'promotionOrdered';
      readonly databaseGroup: string;
      readonly changeId: string;
      readonly target: string;
      readonly position: LogPosition;
      readonly fencingToken: number;
      /** Time from the choice to the call. */
      readonly choiceAgeMs: number | null;
    }
  | {
      readonly kind: 'promotionAnswered';
      readonly databaseGroup: string;
      readonly changeId: string;
      readonly target: string;
      readonly outcome: string;
      readonly durationMs: number;
      /** Time from the call to the first byte sent; null if none was. */
      readonly sentAfterMs: number | null;
    }
  /** An instance was seen to be the new primary. */
  | {
      readonly kind: 'promotionSeen';
      readonly databaseGroup: string;
      readonly changeId: string;
      readonly target: string;
      readonly term: number;
      /** End of its log when it was seen. */
      readonly receivedPosition: LogPosition;
      readonly orderedBy: OrderSource;
      /** Time since the call; null for an order of another leader. */
      readonly sinceOrderMs: number | null;
      /** Time since the choice; null for an order of another leader. */
      readonly sinceChoiceMs: number | null;
      readonly recordAgeMs: number;
    }
  /** A fence no longer holds, or was renewed with another start or log. */
  | {
      readonly kind: 'fenceChanged';
      readonly databaseGroup: string;
      readonly changeId: string;
      readonly backendServer: string;
      readonly change: FenceChange;
      readonly previous: ReportedState;
      /** Age of the previous response. */
      readonly previousAgeMs: number;
      /** Null for `expired`. */
      readonly current: ReportedState | null;
      /** Error of the last request; null if it had a response. */
      readonly lastError: string | null;
    };

/** How a fence differs from the one before. @public */
export type FenceChange =
  /** The instance responds, but is no longer fenced. */
  | 'lost'
  /** It has not responded for as long as a fence is valid. */
  | 'expired'
  /** It is fenced, but was started again since the fence before. */
  | 'restarted'
  /** It is fenced, but has received more since the fence before. */
  | 'longerLog'
  | 'shorterLog';
