import type {Clock} from '@filbertrun/base/clock.js';
import type {FailoverLeaderLease} from '../control/failover_leader_lease.js';
import {OrdersInFlight} from '../failover/orders_in_flight.js';
import type {PrimaryChangeDependencies} from '../failover/primary_change.js';
import type {LeaseHolder} from '../failover/release_collector.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {FakeControlTable} from './fake_control_table.js';
import type {FakeInstances} from './fake_instances.js';
import type {FakePeers} from './fake_peers.js';

/** Fakes that a change of primary works with. @internal */
export interface ChangeFakes {
  readonly clock: Clock;
  readonly table: FakeControlTable;
  readonly peers: FakePeers;
  readonly instances: FakeInstances;
  readonly leaderLease: FailoverLeaderLease;
  readonly events: GatewayEventRecorder;
  readonly holders: readonly LeaseHolder[];
}

/**
 * Creates the dependencies of a change by the entry VM `entry-1`, which lists the
 * instances of the fakes and no unlisted proxies.
 *
 * @internal
 */
export function createChangeDependencies({
  holders,
  ...fakes
}: ChangeFakes): PrimaryChangeDependencies {
  const {instances} = fakes;
  return {
    ...fakes,
    availabilityZone: 'zone-a',
    entryVm: 'entry-1',
    promotions: instances,
    orders: OrdersInFlight.create(),
    listInstances: () => Promise.resolve(instances.listEntries()),
    describeLastListing: () => null,
    findLeaseHolders: () => ({known: holders, unlistedUntilMs: null}),
    getStoreEra: () => 0,
    handleRecord: () => {},
  };
}
