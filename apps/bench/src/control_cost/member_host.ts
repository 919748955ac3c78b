import process from 'node:process';
import {SystemClock} from '@filbertrun/base/clock.js';
import {createSystemRandom} from '@filbertrun/base/random_source.js';
import {NullLogger} from '@filbertrun/observability/logger.js';
import {ControlPlane} from '@filbertrun/peer/control_plane.js';
import {PeerServer} from '@filbertrun/peer/peer_server.js';
import {WebSocketTransport} from '@filbertrun/peer/web_socket_transport.js';
import {HttpPlatformService} from '@filbertrun/platform/http_platform_service.js';
import {z} from 'zod';

/**
 * Child process of the control-cost scenario that runs the control planes of
 * many members without their data paths. Its only argument is JSON, see
 * `memberHostSchema`. It prints one line when all members are listening.
 */

/** Validates the argument of the process. @public */
export const memberHostSchema = z
  .object({
    platformUrl: z.string(),
    peerKey: z.string(),
    members: z
      .array(
        z
          .object({
            entryVm: z.string(),
            availabilityZone: z.string(),
            port: z.number().int(),
          })
          .readonly(),
      )
      .readonly(),
  })
  .readonly();

/** Options of a member host process. @public */
export type MemberHostOptions = z.infer<typeof memberHostSchema>;

const HOST = '127.0.0.1';
const PLATFORM_TIMEOUT_MS = 5000;

async function startMember(
  host: MemberHostOptions,
  member: MemberHostOptions['members'][number],
): Promise<void> {
  const clock = SystemClock.create();
  const logger = NullLogger.create();
  const {entryVm, availabilityZone, port} = member;
  const plane = ControlPlane.create({
    identity: {
      entryVm,
      availabilityZone,
      peerUrl: `http://${HOST}:${port}`,
    },
    startedAtEpochMs: Date.now(),
    platform: HttpPlatformService.create({
      baseUrl: host.platformUrl,
      timeoutMs: PLATFORM_TIMEOUT_MS,
    }),
    transport: WebSocketTransport.create({
      clock,
      secret: host.peerKey,
      sourceAddress: null,
      tls: null,
    }),
    seedPeerUrls: [],
    clock,
    random: createSystemRandom(),
    logger,
  });
  await PeerServer.create({
    host: HOST,
    port,
    handler: plane.createHandler(),
    secrets: {peerSecret: host.peerKey, operatorSecret: host.peerKey},
    tls: null,
    logger,
  });
}

async function main(): Promise<void> {
  const host = memberHostSchema.parse(JSON.parse(process.argv[2] ?? ''));
  for (const member of host.members) {
    await startMember(host, member);
  }
  process.stdout.write('{"ready":true}\n');
  process.once('SIGTERM', () => process.exit(0));
}

await main();
