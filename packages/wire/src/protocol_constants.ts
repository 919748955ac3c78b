/**
 * Constants of the PostgreSQL frontend/backend protocol, version 3.
 */

/** Size of the frame header: the type byte and the length field. @public */
export const FRAME_HEADER_BYTES = 5;

/** Size of the length field. @public */
export const LENGTH_FIELD_BYTES = 4;

/** Type bytes of frontend messages. @public */
export const FrontendMessage = {
  bind: 0x42,
  close: 0x43,
  copyData: 0x64,
  copyDone: 0x63,
  copyFail: 0x66,
  describe: 0x44,
  execute: 0x45,
  flush: 0x48,
  functionCall: 0x46,
  parse: 0x50,
  password: 0x70,
  query: 0x51,
  sync: 0x53,
  terminate: 0x58,
} as const;

/** Type bytes of backend messages. @public */
export const BackendMessage = {
  authentication: 0x52,
  backendKeyData: 0x4b,
  bindComplete: 0x32,
  closeComplete: 0x33,
  commandComplete: 0x43,
  copyInResponse: 0x47,
  copyOutResponse: 0x48,
  copyBothResponse: 0x57,
  dataRow: 0x44,
  emptyQueryResponse: 0x49,
  errorResponse: 0x45,
  noData: 0x6e,
  noticeResponse: 0x4e,
  notificationResponse: 0x41,
  parameterDescription: 0x74,
  parameterStatus: 0x53,
  parseComplete: 0x31,
  portalSuspended: 0x73,
  readyForQuery: 0x5a,
  rowDescription: 0x54,
} as const;

/** Transaction status reported in ReadyForQuery. @public */
export type TransactionStatus = 'idle' | 'inTransaction' | 'failed';
