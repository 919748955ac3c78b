import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';

/** Why a session token could not be decoded or encoded. @public */
export type TokenError =
  | {readonly kind: 'malformed'; readonly reason: string}
  /** The signature matches none of the keys. */
  | {readonly kind: 'forged'}
  | {
      readonly kind: 'tooLong';
      readonly limit: number;
      readonly unit: 'bytes' | 'databaseGroups';
    }
  | {readonly kind: 'unsupportedVersion'; readonly version: string};

/** Formats a token error as a message for the caller. @public */
export function describeTokenError(error: TokenError): string {
  switch (error.kind) {
    case 'malformed':
      return `the token is malformed (${error.reason})`;
    case 'forged':
      return 'the token was not signed by this system';
    case 'tooLong':
      return error.unit === 'bytes'
        ? `the token exceeds ${error.limit} bytes`
        : `the token holds more than ${error.limit} database groups`;
    case 'unsupportedVersion':
      return `token version "${error.version}" is not supported`;
    default:
      return exhaustiveSwitchError(error);
  }
}
