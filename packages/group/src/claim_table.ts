import {z} from 'zod';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import {
  getClaimKey,
  type PlatformError,
  type PlatformTable,
} from '@filbertrun/platform/platform_service.js';
import type {
  ClaimReadOutcome,
  ClaimRecord,
  ClaimWriteOutcome,
} from './failover_messages.js';

const claimSchema = z
  .object({
    term: z.number().int().nonnegative(),
    claimId: z.string().min(1).max(128),
    primary: z.string().max(64).nullable(),
  })
  .readonly();

/**
 * Reads and writes the claim of one group in the platform's table. A proxy
 * writes a claim with the new term before it changes the primary, so that
 * others do not attempt the same.
 *
 * @internal
 */
export class ClaimTable {
  private constructor(
    private readonly table: PlatformTable,
    private readonly key: string,
  ) {}

  static create(
    table: PlatformTable,
    databaseGroup: DatabaseGroupName,
  ): ClaimTable {
    return new ClaimTable(table, getClaimKey(databaseGroup));
  }

  async read(): Promise<ClaimReadOutcome> {
    const result = await this.table.getEntry(this.key);
    if (!result.ok) {
      return {kind: 'unavailable'};
    }
    if (result.value === null) {
      return {kind: 'read', claim: null, revision: 0};
    }
    return {
      kind: 'read',
      claim: parseClaim(result.value.value),
      revision: result.value.revision,
    };
  }

  async write(
    claim: ClaimRecord,
    expectedRevision: number,
  ): Promise<ClaimWriteOutcome> {
    const result = await this.table.putEntry({
      key: this.key,
      value: JSON.stringify(claim),
      expectedRevision,
    });
    return result.ok ? 'written' : describeWriteError(result.error);
  }

  /**
   * Writes the claim with the promoted primary, unless the table holds one of a
   * later term.
   */
  async publish(claim: ClaimRecord): Promise<void> {
    const current = await this.read();
    if (current.kind === 'unavailable') {
      return;
    }
    if (current.claim !== null && current.claim.term > claim.term) {
      return;
    }
    await this.write(claim, current.revision);
  }
}

function describeWriteError(error: PlatformError): ClaimWriteOutcome {
  switch (error.kind) {
    case 'conflict':
      return 'conflict';
    case 'unavailable':
      return 'unavailable';
    case 'outcomeUnknown':
    case 'malformed':
      return 'outcomeUnknown';
  }
}

function parseClaim(text: string): ClaimRecord | null {
  try {
    const parsed = claimSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
}
