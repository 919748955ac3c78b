import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import type {Clock} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {DependencyTracker} from '../observability/dependency_tracker.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {PeerClient} from '../peer/peer_client.js';
import type {ContactTracker} from './contact_tracker.js';
import type {EntryVmRecord} from './control_record.js';

/** Dependencies of the contact renewer. @public */
export interface ContactRenewerOptions {
  readonly availabilityZone: AvailabilityZone;
  readonly clockJumpDetector: ClockJumpDetector;
  readonly contact: ContactTracker;
  readonly clock: Clock;
  readonly events: GatewayEventRecorder;
  readonly peers: PeerClient;
  readonly random: RandomSource;
  getOtherEntryVms(): readonly EntryVmRecord[];
  /** Digest of the primary records that this proxy knows. */
  computeDigest(): string;
  /**
   * Whether another proxy of the zone, the zone reader, reads the store for this
   * one and forwards its contacts to it.
   */
  isFollowing(): boolean;
  /** Starts a read of the store. */
  readStore(): void;
}

/** Fraction of the contact window after which the contact is renewed. */
const REFRESH_FRACTION = 0.5;

/**
 * The same fraction for a proxy that receives the contacts of the zone reader.
 * It is larger, so that the proxy renews the contact itself only when those are
 * missing.
 */
const FOLLOWER_REFRESH_FRACTION = 0.75;

/**
 * Renews a proxy's contact, the confirmation that its primary records are
 * current, between its reads of the store. It asks a proxy of another
 * availability zone whether it has the same primary records, and reads the store
 * if that proxy does not respond or has different records.
 *
 * @public
 */
export class ContactRenewer {
  private isRenewing = false;

  private readonly dependency: DependencyTracker;

  private constructor(private readonly options: ContactRenewerOptions) {
    const {clock, events} = options;
    this.dependency = DependencyTracker.create({
      dependency: 'contact',
      clock,
      events,
    });
  }

  static create(options: ContactRenewerOptions): ContactRenewer {
    return new ContactRenewer(options);
  }

  /** Renews the contact if the last one is old enough. */
  async maintain(): Promise<void> {
    this.recordAvailability();
    const {contact} = this.options;
    const ageMs = contact.getAgeMs();
    const refreshFraction = this.options.isFollowing()
      ? FOLLOWER_REFRESH_FRACTION
      : REFRESH_FRACTION;
    const isDue = ageMs === null || ageMs >= contact.windowMs * refreshFraction;
    if (this.isRenewing || !isDue) {
      return;
    }
    this.isRenewing = true;
    try {
      if (!(await this.compareWithPeer())) {
        this.options.readStore();
      }
    } finally {
      this.isRenewing = false;
    }
  }

  private recordAvailability(): void {
    if (this.options.contact.isInContact()) {
      this.dependency.markAvailable();
    } else {
      this.dependency.markLost(
        'neither the store nor a proxy of another zone confirms the primary records',
      );
    }
  }

  private async compareWithPeer(): Promise<boolean> {
    const {clockJumpDetector, contact, peers, computeDigest} = this.options;
    const peer = this.choosePeer();
    if (peer === null) {
      return false;
    }
    const startedAt = clockJumpDetector.read();
    const response = await peers.compareRecords(peer);
    if (!response.ok || response.value.digest !== computeDigest()) {
      return false;
    }
    contact.recordContact(startedAt);
    return true;
  }

  private choosePeer(): EntryVmRecord | null {
    const {availabilityZone, random, getOtherEntryVms} = this.options;
    const candidates = getOtherEntryVms().filter(
      record => record.availabilityZone !== availabilityZone,
    );
    const index = random.nextInteger(0, Math.max(0, candidates.length - 1));
    return candidates[index] ?? null;
  }
}
