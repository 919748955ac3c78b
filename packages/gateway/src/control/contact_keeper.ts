import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import type {Clock} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {ClockWatch} from '../group/clock_watch.js';
import {DependencyTracker} from '../observability/dependency_tracker.js';
import type {GatewayEvents} from '../observability/gateway_events.js';
import type {PeerCaller} from '../peer/peer_caller.js';
import type {ContactWatch} from './contact_watch.js';
import type {EntryVmRecord} from './control_record.js';

/** What a keeper is made of. @public */
export interface ContactKeeperOptions {
  readonly availabilityZone: AvailabilityZone;
  readonly clockWatch: ClockWatch;
  readonly contact: ContactWatch;
  readonly clock: Clock;
  readonly events: GatewayEvents;
  readonly peers: PeerCaller;
  readonly random: RandomSource;
  getOtherEntryVms(): readonly EntryVmRecord[];
  /** Digest of the records of primaries that this proxy knows. */
  computeDigest(): string;
  /** Whether another proxy of the zone passes its contacts on to this one. */
  isFollowing(): boolean;
  /** Reads the store. */
  readStore(): void;
}

/** Part of the window after which another contact is sought. */
const REFRESH_PART = 0.5;

/**
 * The same for a proxy that hears of the contacts of its zone's reader: it
 * seeks one of its own only where these stay out.
 */
const FOLLOWER_REFRESH_PART = 0.75;

/**
 * Keeps a proxy in contact between its reads of the store: asks a proxy of
 * another availability zone whether it holds the same records. The store is
 * read where no such proxy answers or agrees.
 *
 * @public
 */
export class ContactKeeper {
  private isAsking = false;

  private readonly dependency: DependencyTracker;

  private constructor(private readonly options: ContactKeeperOptions) {
    const {clock, events} = options;
    this.dependency = DependencyTracker.create({
      dependency: 'contact',
      clock,
      events,
    });
  }

  static create(options: ContactKeeperOptions): ContactKeeper {
    return new ContactKeeper(options);
  }

  /** Seeks a contact when the last one has become old. */
  async maintain(): Promise<void> {
    this.recordState();
    const {contact} = this.options;
    const ageMs = contact.getAgeMs();
    const refreshPart = this.options.isFollowing()
      ? FOLLOWER_REFRESH_PART
      : REFRESH_PART;
    const isDue = ageMs === null || ageMs >= contact.windowMs * refreshPart;
    if (this.isAsking || !isDue) {
      return;
    }
    this.isAsking = true;
    const hasAgreed = await this.askPeer();
    this.isAsking = false;
    if (!hasAgreed) {
      this.options.readStore();
    }
  }

  private recordState(): void {
    if (this.options.contact.isInContact()) {
      this.dependency.noteAvailable();
    } else {
      this.dependency.noteLost(
        'neither the store nor a proxy of another zone confirms',
      );
    }
  }

  private async askPeer(): Promise<boolean> {
    const {clockWatch, contact, peers, computeDigest} = this.options;
    const peer = this.choosePeer();
    if (peer === null) {
      return false;
    }
    const startedAt = clockWatch.read();
    const answer = await peers.compareRecords(peer);
    if (!answer.ok || answer.value.digest !== computeDigest()) {
      return false;
    }
    contact.noteContact(startedAt);
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
