import {initTRPC, TRPCError, type AnyRouter} from '@trpc/server';
import {isAllowed} from './peer_credentials.js';
import {
  PEER_PROCEDURES,
  type PeerHandler,
  type PeerProcedure,
  type PeerRole,
} from './peer_protocol.js';

/**
 * The tRPC router of the peer interface.
 *
 * @public
 */

/** Request context of an authenticated client. @public */
export interface PeerContext {
  readonly role: PeerRole;
}

type AnyProcedureHandler = (input: unknown) => Promise<unknown>;

/** Creates a router that dispatches calls to `handler`. @public */
export function createPeerRouter(handler: PeerHandler): AnyRouter {
  const trpc = initTRPC.context<PeerContext>().create({isDev: false});
  const names = Object.keys(PEER_PROCEDURES) as PeerProcedure[];
  const entries = names.map(name => {
    const {input, role} = PEER_PROCEDURES[name];
    const procedure = trpc.procedure.input(input).mutation(call => {
      requireRole(call.ctx, role);
      // The input was validated by the schema of this procedure.
      const handle = handler[name] as AnyProcedureHandler;
      return handle(call.input);
    });
    return [name, procedure] as const;
  });
  return trpc.router(Object.fromEntries(entries));
}

function requireRole(context: PeerContext, requiredRole: PeerRole): void {
  if (!isAllowed(context.role, requiredRole)) {
    throw new TRPCError({
      code: 'FORBIDDEN',
      message: 'This procedure is for proxies only.',
    });
  }
}
