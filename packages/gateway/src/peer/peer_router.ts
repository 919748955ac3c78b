import {logPositionSchema} from '@filbertrun/model/log_position.js';
import {initTRPC} from '@trpc/server';
import * as z from 'zod';
import {primaryRecordSchema} from '../group/primary_record.js';
import {
  permitExchangeSchema,
  permitGrantsSchema,
} from '../quota/permit_exchange.js';
import type {ControlRelayHandler} from './control_relay.js';
import {
  encodeZoneUpdate,
  zoneUpdateRequestSchema,
} from '../zone/zone_update_codec.js';
import type {PeerHandler} from './peer_client.js';

/** The protocol between proxies, as a tRPC router. */

const releaseRequestSchema = z.object({
  databaseGroup: z.string(),
  changeId: z.string(),
  oldTerm: z.number().int(),
  revision: z.number().int(),
});

/** Schema of the response to a release request. @public */
export const releaseAnswerSchema = z.object({
  incarnation: z.string(),
  highestAcknowledged: logPositionSchema.nullable(),
  drainedForMs: z.number().nonnegative().default(0),
});

const revisedRecordSchema = z.object({
  record: primaryRecordSchema,
  revision: z.number().int(),
});

const suspicionReportSchema = z.object({
  databaseGroup: z.string(),
  primary: z.string(),
  evidence: z.enum(['unreachable', 'writesStalled']),
  reporter: z.string(),
});

const positionAnswerSchema = z.object({
  position: logPositionSchema,
  leadMs: z.number().nonnegative(),
});

const conditionalWriteSchema = z.object({
  key: z.string().min(1),
  value: z.string(),
  expectedRevision: z.number().int().nonnegative(),
});

const trpc = initTRPC.create();

/** Creates the router for the requests of other proxies. @public */
export function createPeerRouter(
  handler: PeerHandler,
  control: ControlRelayHandler,
) {
  return trpc.router({
    release: trpc.procedure
      .input(releaseRequestSchema)
      .output(releaseAnswerSchema)
      .mutation(({input}) => handler.release(input)),
    announce: trpc.procedure
      .input(revisedRecordSchema)
      .mutation(({input}) => handler.announce(input)),
    reportSuspicion: trpc.procedure
      .input(suspicionReportSchema)
      .mutation(({input}) => handler.reportSuspicion(input)),
    listControl: trpc.procedure.query(async () => {
      const result = await control.listForPeer();
      return result.ok
        ? {
            ok: true as const,
            entries: [...result.value.entries],
            revision: result.value.revision,
            storeTimeMs: result.value.storeTimeMs,
          }
        : {ok: false as const};
    }),
    putControl: trpc.procedure
      .input(conditionalWriteSchema)
      .mutation(({input}) => control.putForPeer(input)),
    handOverDuty: trpc.procedure
      .input(z.object({fencingToken: z.number().int()}))
      .mutation(({input}) => handler.takeOverDuty(input)),
    compareRecords: trpc.procedure
      .output(z.object({digest: z.string().nullable()}))
      .query(() => handler.compareRecords()),
    askPosition: trpc.procedure
      .input(z.object({databaseGroup: z.string()}))
      .output(positionAnswerSchema.nullable())
      .query(({input}) => handler.tellPosition(input)),
    followZone: trpc.procedure
      .input(zoneUpdateRequestSchema)
      .query(async ({input}) => {
        const update = await handler.followZone(input);
        return update === null ? null : encodeZoneUpdate(update);
      }),
    exchangePermits: trpc.procedure
      .input(permitExchangeSchema)
      .output(permitGrantsSchema.nullable())
      .mutation(({input}) => handler.exchangePermits(input)),
    askReach: trpc.procedure
      .input(z.object({backendServer: z.string()}))
      .output(z.object({isReachable: z.boolean()}))
      .query(({input}) => handler.askReach(input)),
  });
}

/** The type of the router, for clients. @public */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
