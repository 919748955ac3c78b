import type {ConnectionIdentity} from '@filbertrun/pool/pool_types.js';
import type {
  DatabaseRoute,
  ServiceConfiguration,
} from '../configuration/service_configuration.js';
import type {ApiKeyDigest} from './api_key_digest.js';
import type {Customer} from './customer.js';

/** Who a caller is, according to one version of the configuration. @public */
export type CallerResolution =
  | {
      readonly kind: 'allowed';
      /** Null on a public route with an unknown key, or without customers. */
      readonly customer: Customer | null;
      /** Identity of the backend connections that may run its statements. */
      readonly identity: ConnectionIdentity;
    }
  /** No customer holds the caller's key. */
  | {readonly kind: 'denied'};

/** Inputs of {@link resolveCaller}. @public */
export interface CallerResolutionInputs {
  readonly configuration: ServiceConfiguration;
  readonly route: DatabaseRoute;
  readonly keyDigest: ApiKeyDigest;
  /** Identity of connections that belong to no customer. */
  readonly sharedIdentity: ConnectionIdentity;
}

/**
 * Resolves a caller's key. Must be called again for each operation, because a
 * newer configuration may have removed the key or moved it to another customer.
 *
 * @public
 */
export function resolveCaller(
  inputs: CallerResolutionInputs,
): CallerResolution {
  const {configuration, route, keyDigest, sharedIdentity} = inputs;
  const {customers} = configuration;
  if (customers === null) {
    return {kind: 'allowed', customer: null, identity: sharedIdentity};
  }
  const customer = customers.findHolder(keyDigest);
  if (customer !== null) {
    return {kind: 'allowed', customer, identity: customer.name};
  }
  return route.isPublic
    ? {kind: 'allowed', customer: null, identity: sharedIdentity}
    : {kind: 'denied'};
}
