import {describe, expect, it} from 'vitest';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {
  InstanceConnection,
  InstanceConnector,
  InstanceEvent,
} from './instance_connector.js';
import type {InstanceError, InstanceStatus} from './instance_control.js';
import {InstanceClient} from './instance_client.js';

const STATUS: InstanceStatus = {
  backendServer: 'a',
  role: 'primary',
  term: 1,
  claimId: 'x',
  position: {term: 1, position: 1},
  primary: null,
  primarySilentForMs: null,
  replicas: [],
};

/** Connects at once; each connection returns the `responses` set at that time. */
class FakeConnector implements InstanceConnector {
  connectCount = 0;
  closesDuringConnect = false;
  responses: Result<InstanceStatus, InstanceError> = success(STATUS);

  async connect(
    _server: unknown,
    listener: (event: InstanceEvent) => void,
  ): Promise<Result<InstanceConnection, InstanceError>> {
    this.connectCount++;
    const responses = this.responses;
    if (this.closesDuringConnect) {
      listener({kind: 'closed', reason: 'reset'});
    }
    const getStatus = async () => responses;
    return success({
      getStatus,
      raiseTerm: getStatus,
      promote: getStatus,
      follow: getStatus,
      confirmTerm: async () => failure({kind: 'timedOut'}),
      close: () => {},
    });
  }
}

function createClient(connector: FakeConnector, clock: VirtualClock) {
  const reports: string[] = [];
  const client = InstanceClient.create({
    server: {
      backendServer: 'a',
      availabilityZone: 'zone-1',
      host: '127.0.0.1',
      port: 1,
      state: 'active',
      weight: 100,
      slots: 1,
      maxConnections: 1,
    },
    connector,
    clock,
    random: SeededRandom.create(1),
    listener: {
      handleStatus: () => reports.push('status'),
      handleFailure: (_server, health) => reports.push(health),
      handleEvent: (_server, event) => reports.push(event.kind),
    },
  });
  return {client, reports};
}

async function settle(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}

describe('InstanceClient', () => {
  it('reconnects when the connection was closed while it was being opened', async () => {
    const clock = VirtualClock.create();
    const connector = new FakeConnector();
    connector.closesDuringConnect = true;
    connector.responses = failure({kind: 'unreachable', reason: 'reset'});
    const {client} = createClient(connector, clock);
    client.setWanted(true);
    await settle();
    connector.closesDuringConnect = false;
    connector.responses = success(STATUS);
    await client.poll();
    clock.advance(1000);
    await settle();
    expect((await client.poll()).ok).toBe(true);
  });

  it('reconnects after three polls without a response', async () => {
    const clock = VirtualClock.create();
    const connector = new FakeConnector();
    connector.responses = failure({kind: 'timedOut'});
    const {client, reports} = createClient(connector, clock);
    client.setWanted(true);
    await settle();
    for (let poll = 0; poll < 3; poll++) {
      await client.poll();
    }
    clock.advance(1000);
    await settle();
    expect(reports).toEqual(['silent', 'silent', 'silent']);
    expect(connector.connectCount).toBe(2);
  });

  it('closes the connection when it is no longer wanted', async () => {
    const connector = new FakeConnector();
    const {client} = createClient(connector, VirtualClock.create());
    client.setWanted(true);
    await settle();
    client.setWanted(false);
    expect(client.isConnected()).toBe(false);
  });
});
