import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import {INSTANCE_NAMES, type FaultStep} from './group_scenario.js';
import type {GroupWorld} from './group_world.js';
import {PLATFORM_PARTY} from './simulated_platform.js';

/** Lag of a replica that lags, in milliseconds. */
const REPLICA_LAG_MS = 600;

/** Brings about one fault and returns what ends it. @internal */
export function beginFault(world: GroupWorld, step: FaultStep): () => void {
  const proxy = world.getProxyName(step.party);
  const instance = INSTANCE_NAMES[step.party] ?? 'a';
  const next = INSTANCE_NAMES[(step.party + 1) % INSTANCE_NAMES.length] ?? 'a';
  const primary = world.getPrimaryName() ?? instance;
  switch (step.fault) {
    case 'isolateProxy':
      return isolate(world, [proxy]);
    case 'isolateInstance':
      return isolate(world, [instance]);
    case 'isolateZone':
      return isolate(world, [proxy, instance]);
    case 'isolatePrimary':
      return isolate(world, [proxy, primary]);
    case 'isolateReplication':
      return isolateReplication(world, primary);
    case 'splitAtPromotion':
      return splitAtPromotion(world, proxy, step.durationMs);
    case 'oneWayPrimaryToProxy':
      return blockWay(world, primary, [proxy]);
    case 'oneWayFromInstance':
      return blockWay(world, instance, [proxy, next, PLATFORM_PARTY]);
    case 'oneWayToInstance':
      world.tell(`the ways to ${instance} are blocked`);
      world.network.block(proxy, instance);
      world.network.block(next, instance);
      return () => world.network.heal();
    case 'oneWayBetweenInstances':
      return blockWay(world, instance, [next]);
    case 'pauseProxy':
      return pause(world, proxy);
    case 'pauseInstance':
      return pause(world, instance);
    case 'crashInstance':
      return crash(world, instance);
    case 'crashPrimary':
      return crash(world, primary);
    case 'killProxy':
      world.tell(`${proxy} dies`);
      world.getProxy(step.party).kill();
      return () => world.restartProxy(step.party);
    case 'tableOutage':
      world.tell('the table is down');
      world.platform.setOutage(true);
      return () => world.platform.setOutage(false);
    case 'loseTableAnswer':
      world.tell('the answer to the next table write is lost');
      world.platform.dropNextResponse();
      return () => {};
    case 'unreliable':
      world.tell('messages are lost, doubled and late');
      world.network.setUnreliable(true);
      return () => world.network.setUnreliable(false);
    case 'replicaLag':
      world.tell(`${instance} lags`);
      world.setLag(instance, REPLICA_LAG_MS);
      return () => world.setLag(instance, 0);
    default:
      return exhaustiveSwitchError(step.fault);
  }
}

function isolate(world: GroupWorld, parties: readonly string[]): () => void {
  world.tell(`${parties.join(' and ')} cut off`);
  for (const party of parties) {
    world.network.isolate(party);
  }
  for (const party of parties) {
    for (const other of parties) {
      world.network.open(party, other);
    }
  }
  return () => world.network.heal();
}

/** Cuts the primary off from its replicas; the proxies still reach it. */
function isolateReplication(world: GroupWorld, primary: string): () => void {
  world.tell(`${primary} cut off from its replicas`);
  for (const other of INSTANCE_NAMES) {
    world.network.block(primary, other);
    world.network.block(other, primary);
  }
  return () => world.network.heal();
}

/** The next instance to be promoted is cut off with one proxy before it can answer. */
function splitAtPromotion(
  world: GroupWorld,
  proxy: string,
  durationMs: number,
): () => void {
  world.onNextPromotion(promoted => {
    const end = isolate(world, [promoted, proxy]);
    world.clock.startTimer(durationMs, end);
  });
  return () => {};
}

function blockWay(
  world: GroupWorld,
  from: string,
  targets: readonly string[],
): () => void {
  world.tell(`the ways from ${from} to ${targets.join(', ')} are blocked`);
  for (const to of targets) {
    world.network.block(from, to);
  }
  return () => world.network.heal();
}

function pause(world: GroupWorld, party: string): () => void {
  world.tell(`${party} is paused`);
  world.getClock(party).pause();
  return () => {
    world.tell(`${party} wakes`);
    world.getClock(party).resume();
  };
}

function crash(world: GroupWorld, instance: string): () => void {
  world.tell(`${instance} dies`);
  world.getInstance(instance).crash();
  return () => {
    world.tell(`${instance} restarts`);
    world.getInstance(instance).restart();
  };
}
