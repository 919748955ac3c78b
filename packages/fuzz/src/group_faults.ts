import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import {INSTANCE_NAMES, type FaultStep} from './group_scenario.js';
import type {SimulatedCluster} from './simulated_cluster.js';
import {PLATFORM_PARTY} from './simulated_platform.js';

/** Replication lag during the fault `replicaLag`. */
const REPLICA_LAG_MS = 600;

/** Starts a fault and returns the function that ends it. @internal */
export function startFault(
  cluster: SimulatedCluster,
  step: FaultStep,
): () => void {
  const proxy = cluster.getProxyName(step.party);
  const instance = INSTANCE_NAMES[step.party] ?? 'a';
  const next = INSTANCE_NAMES[(step.party + 1) % INSTANCE_NAMES.length] ?? 'a';
  const primary = cluster.getPrimaryName() ?? instance;
  switch (step.fault) {
    case 'isolateProxy':
      return isolate(cluster, [proxy]);
    case 'isolateInstance':
      return isolate(cluster, [instance]);
    case 'isolateZone':
      return isolate(cluster, [proxy, instance]);
    case 'isolatePrimary':
      return isolate(cluster, [proxy, primary]);
    case 'isolateReplication':
      return isolateReplication(cluster, primary);
    case 'splitAtPromotion':
      return splitAtPromotion(cluster, proxy, step.durationMs);
    case 'oneWayPrimaryToProxy':
      return blockDirections(cluster, primary, [proxy]);
    case 'oneWayFromInstance':
      return blockDirections(cluster, instance, [proxy, next, PLATFORM_PARTY]);
    case 'oneWayToInstance':
      cluster.log(`messages to ${instance} are blocked`);
      cluster.network.block(proxy, instance);
      cluster.network.block(next, instance);
      return () => cluster.network.heal();
    case 'oneWayBetweenInstances':
      return blockDirections(cluster, instance, [next]);
    case 'pauseProxy':
      return pause(cluster, proxy);
    case 'pauseInstance':
      return pause(cluster, instance);
    case 'crashInstance':
      return crash(cluster, instance);
    case 'crashPrimary':
      return crash(cluster, primary);
    case 'killProxy':
      cluster.log(`${proxy} dies`);
      cluster.getProxy(step.party).kill();
      return () => cluster.restartProxy(step.party);
    case 'tableOutage':
      cluster.log('the table is down');
      cluster.platform.setOutage(true);
      return () => cluster.platform.setOutage(false);
    case 'loseTableAnswer':
      cluster.log('the answer to the next table write is lost');
      cluster.platform.dropNextResponse();
      return () => {};
    case 'unreliable':
      cluster.log('messages are dropped, duplicated and delayed');
      cluster.network.setUnreliable(true);
      return () => cluster.network.setUnreliable(false);
    case 'replicaLag':
      cluster.log(`${instance} lags`);
      cluster.setLag(instance, REPLICA_LAG_MS);
      return () => cluster.setLag(instance, 0);
    default:
      return exhaustiveSwitchError(step.fault);
  }
}

function isolate(
  cluster: SimulatedCluster,
  parties: readonly string[],
): () => void {
  cluster.log(`${parties.join(' and ')} cut off`);
  for (const party of parties) {
    cluster.network.isolate(party);
  }
  for (const party of parties) {
    for (const other of parties) {
      cluster.network.open(party, other);
    }
  }
  return () => cluster.network.heal();
}

/** Isolates the primary from its replicas; the proxies still reach it. */
function isolateReplication(
  cluster: SimulatedCluster,
  primary: string,
): () => void {
  cluster.log(`${primary} cut off from its replicas`);
  for (const other of INSTANCE_NAMES) {
    cluster.network.block(primary, other);
    cluster.network.block(other, primary);
  }
  return () => cluster.network.heal();
}

/**
 * Isolates the next promoted instance together with one proxy before its
 * response to the promotion arrives.
 */
function splitAtPromotion(
  cluster: SimulatedCluster,
  proxy: string,
  durationMs: number,
): () => void {
  cluster.onNextPromotion(promoted => {
    const endIsolation = isolate(cluster, [promoted, proxy]);
    cluster.clock.startTimer(durationMs, endIsolation);
  });
  return () => {};
}

function blockDirections(
  cluster: SimulatedCluster,
  from: string,
  targets: readonly string[],
): () => void {
  cluster.log(`messages from ${from} to ${targets.join(', ')} are blocked`);
  for (const to of targets) {
    cluster.network.block(from, to);
  }
  return () => cluster.network.heal();
}

function pause(cluster: SimulatedCluster, party: string): () => void {
  cluster.log(`${party} is paused`);
  cluster.getClock(party).pause();
  return () => {
    cluster.log(`${party} wakes`);
    cluster.getClock(party).resume();
  };
}

function crash(cluster: SimulatedCluster, instance: string): () => void {
  cluster.log(`${instance} dies`);
  cluster.getInstance(instance).crash();
  return () => {
    cluster.log(`${instance} restarts`);
    cluster.getInstance(instance).restart();
  };
}
