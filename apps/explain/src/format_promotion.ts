import {
  formatPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {LogRecord} from '@filbertrun/observability/log_record.js';
import type {AcknowledgedWrite, PromotionHistory} from './explain_promotion.js';
import {formatOffset, formatRecord} from './format_record.js';
import {
  answerSchema,
  choiceSchema,
  completionSchema,
  effectSchema,
  fenceSchema,
  intentSchema,
  orderSchema,
  releaseSchema,
  type LoggedChoice,
  type LoggedState,
} from './promotion_fields.js';
import {formatTable} from './format_table.js';

/** Formats the history of a change of primary as text. */

/** Indentation of what belongs to the line above. */
const INDENT = ' '.repeat(14);

/** Fields of a step that the title of the block shows. */
const TITLE_FIELDS: ReadonlySet<string> = new Set([
  'databaseGroup',
  'changeId',
]);

/** Maximum number of lines of one list. */
const MAX_LINES = 50;

/** Formats one change of primary. @public */
export function formatPromotion(history: PromotionHistory): string {
  const {databaseGroup, changeId, steps, context} = history;
  const startMs = steps[0]?.timeMs ?? 0;
  const lines = [
    `change ${changeId} of ${databaseGroup}, from ${new Date(startMs).toISOString()}`,
    '',
    ...steps.flatMap(record => formatStep(record, startMs)),
    '',
    context.length === 0 ? 'around it: nothing in these logs' : 'around it:',
    ...limit(context.map(record => formatRecord(record, startMs))),
    '',
    ...formatMissing(history, startMs),
    '',
    ...formatLacking(history, startMs),
  ];
  return `${lines.join('\n')}\n`;
}

/** Formats a step; a record that lacks known fields is shown as it is. */
function formatStep(record: LogRecord, startMs: number): readonly string[] {
  const described = describeStep(record);
  if (described === null) {
    const fields = Object.entries(record.fields).filter(
      ([name]) => !TITLE_FIELDS.has(name),
    );
    return [
      formatRecord({...record, fields: Object.fromEntries(fields)}, startMs),
    ];
  }
  const [first = '', ...others] = described;
  const offset = formatOffset(record.timeMs, startMs);
  return [
    `${offset}  ${record.entryVm}  ${first}`,
    ...others.map(line => `${INDENT}${line}`.trimEnd()),
  ];
}

function describeStep({event, fields}: LogRecord): readonly string[] | null {
  switch (event) {
    case 'changeIntended':
      return describeIntent(fields);
    case 'leaseReleased':
      return describeRelease(fields);
    case 'promotionTargetChosen': {
      const choice = choiceSchema.safeParse(fields);
      return choice.success ? describeChoice(choice.data) : null;
    }
    case 'promotionOrdered':
      return describeOrder(fields);
    case 'promotionAnswered':
      return describeAnswer(fields);
    case 'promotionSeen':
      return describeEffect(fields);
    case 'fenceChanged':
      return describeFence(fields);
    case 'changeCompleted':
      return describeCompletion(fields);
    default:
      return null;
  }
}

function describeIntent(fields: unknown): readonly string[] | null {
  const {data} = intentSchema.safeParse(fields);
  return data === undefined
    ? null
    : [
        `intent: replace ${data.primary} of term ${data.term}, ${data.reason}, token ${data.fencingToken}`,
      ];
}

function describeRelease(fields: unknown): readonly string[] | null {
  const {data} = releaseSchema.safeParse(fields);
  if (data === undefined) {
    return null;
  }
  const parts = [
    `release: position ${formatEnd(data.highestAcknowledged)}`,
    data.isGroupKnown === false ? 'group unknown' : null,
    data.hadLease === false ? 'no lease' : null,
    data.hadLease === true ? 'had a lease' : null,
    `knew record ${data.knownRevision ?? '?'} before ${data.revision}`,
    `${data.pendingWrites ?? '?'} writes pending`,
    `process ${formatMs(data.processAgeMs)} old`,
  ];
  return [parts.filter(part => part !== null).join(', ')];
}

function describeChoice(choice: LoggedChoice): readonly string[] {
  return [
    `choice: ${choice.target} at ${formatPosition(choice.position)}, required ${formatEnd(choice.requiredPosition)} (${choice.requirementSource ?? '?'})`,
    `listing ${formatMs(choice.listingAgeMs)} old, history of removals ${describeHistory(choice)} (${formatMs(choice.historyAgeMs)}), record ${formatMs(choice.recordAgeMs)} old, change ${formatMs(choice.changeAgeMs)} old`,
    ...formatTable([
      [
        'instance',
        'known',
        'role',
        'term',
        'end',
        'paused',
        'fence age',
        'started',
        'state',
        'left out',
      ],
      ...choice.instances.map(describeInstance),
    ]),
    ...describeRest(choice.instanceCount - choice.instances.length),
    ...formatTable([
      ['proxy', 'released', 'position', 'process', 'lease ends in'],
      ...choice.proxies.map(describeProxy),
    ]),
    ...describeRest(choice.proxyCount - choice.proxies.length),
  ];
}

function describeHistory({hasCompleteHistory}: LoggedChoice): string {
  if (typeof hasCompleteHistory !== 'boolean') {
    return '?';
  }
  return hasCompleteHistory ? 'complete' : 'not complete';
}

function describeInstance(
  instance: LoggedChoice['instances'][number],
): readonly string[] {
  const {reported, startedAtEpochMs} = instance;
  const name =
    instance.isOldPrimary === true
      ? `${instance.backendServer} (old primary)`
      : instance.backendServer;
  return [
    name,
    instance.source ?? '?',
    reported?.role ?? '-',
    String(reported?.term ?? '-'),
    formatEnd(reported?.receivedPosition),
    String(reported?.pausedTerm ?? '-'),
    formatMs(instance.fenceAgeMs),
    formatTime(startedAtEpochMs),
    instance.state ?? '?',
    instance.exclusion ?? '',
  ];
}

function describeProxy(
  proxy: LoggedChoice['proxies'][number],
): readonly string[] {
  return [
    proxy.entryVm,
    proxy.isReleased ? `${formatMs(proxy.releaseAgeMs)} ago` : 'no',
    formatEnd(proxy.highestAcknowledged),
    describeProcess(proxy.isRegisteredProcess),
    formatMs(proxy.leaseEndInMs),
  ];
}

function describeProcess(isRegistered: boolean | null | undefined): string {
  if (typeof isRegistered !== 'boolean') {
    return '-';
  }
  return isRegistered ? 'registered' : 'another one';
}

function describeRest(count: number): readonly string[] {
  return count > 0 ? [`and ${count} more`] : [];
}

function describeOrder(fields: unknown): readonly string[] | null {
  const {data} = orderSchema.safeParse(fields);
  return data === undefined
    ? null
    : [
        `order: ${data.target} at ${formatPosition(data.position)}, token ${data.fencingToken}, choice ${formatMs(data.choiceAgeMs)} old`,
      ];
}

function describeAnswer(fields: unknown): readonly string[] | null {
  const {data} = answerSchema.safeParse(fields);
  return data === undefined
    ? null
    : [
        `answer: ${data.outcome} after ${formatMs(data.durationMs)}, first byte sent after ${formatMs(data.sentAfterMs)}`,
      ];
}

function describeEffect(fields: unknown): readonly string[] | null {
  const {data} = effectSchema.safeParse(fields);
  return data === undefined
    ? null
    : [
        `effect: ${data.target} is primary of term ${data.term} with end ${formatPosition(data.receivedPosition)}, ordered by ${data.orderedBy}, ${formatMs(data.sinceOrderMs)} after the order, ${formatMs(data.sinceChoiceMs)} after the choice`,
      ];
}

function describeFence(fields: unknown): readonly string[] | null {
  const {data} = fenceSchema.safeParse(fields);
  if (data === undefined) {
    return null;
  }
  const {current, lastError} = data;
  const before = `${describeState(data.previous)}, ${formatMs(data.previousAgeMs)} before`;
  const now =
    current === null || current === undefined
      ? `no response (${lastError ?? '?'})`
      : describeState(current);
  return [`fence of ${data.backendServer}: ${data.change}, ${now}; ${before}`];
}

function describeState(state: LoggedState): string {
  const {role, term, pausedTerm, receivedPosition, startedAtEpochMs} = state;
  return `${role} of term ${term} with end ${formatPosition(receivedPosition)}, paused ${pausedTerm}, started ${formatTime(startedAtEpochMs)}`;
}

function describeCompletion(fields: unknown): readonly string[] | null {
  const {data} = completionSchema.safeParse(fields);
  return data === undefined
    ? null
    : [
        `completion: ${data.primary} in term ${data.term} after ${formatMs(data.durationMs)}, writes wait for ${data.waitingFor.join(', ') || 'no proxy'}`,
      ];
}

function formatMissing(
  {missingInstances}: PromotionHistory,
  startMs: number,
): readonly string[] {
  if (missingInstances === null) {
    return ['instances that the choice did not know: the choice is not logged'];
  }
  if (missingInstances.length === 0) {
    return ['instances that the choice did not know: none in these logs'];
  }
  return [
    'instances that the choice did not know, with their last record:',
    ...limit(
      missingInstances.map(({lastRecord}) => formatRecord(lastRecord, startMs)),
    ),
  ];
}

function formatLacking(
  {chosenEnd, oldWriteCount, lackingWrites, lackingReleases}: PromotionHistory,
  startMs: number,
): readonly string[] {
  if (chosenEnd === null) {
    return ['acknowledged beyond the chosen end: no choice is logged'];
  }
  const title = `acknowledged beyond the chosen end ${formatPosition(chosenEnd)}`;
  const found = [
    ...lackingReleases.map(
      ({entryVm, position}) =>
        `${INDENT}release of ${entryVm}: ${formatPosition(position)}`,
    ),
    ...lackingWrites.map(write => formatWrite(write, startMs)),
  ];
  return found.length === 0
    ? [`${title}: none of ${oldWriteCount} logged writes, no release`]
    : [
        `${title}: ${lackingWrites.length} of ${oldWriteCount} logged writes`,
        ...limit(found),
      ];
}

function formatWrite(
  {timeMs, entryVm, requestId, backendServer, position}: AcknowledgedWrite,
  startMs: number,
): string {
  return `${formatOffset(timeMs, startMs)}  ${entryVm}  request ${requestId} at ${backendServer}: ${formatPosition(position)}`;
}

function limit(lines: readonly string[]): readonly string[] {
  return lines.length <= MAX_LINES
    ? lines
    : [
        ...lines.slice(0, MAX_LINES),
        `${INDENT}and ${lines.length - MAX_LINES} more`,
      ];
}

function formatEnd(position: LogPosition | null | undefined): string {
  return position === null || position === undefined
    ? '-'
    : formatPosition(position);
}

function formatMs(ms: number | null | undefined): string {
  return typeof ms === 'number' ? `${Math.round(ms)} ms` : '?';
}

function formatTime(epochMs: number | null | undefined): string {
  return typeof epochMs === 'number' ? new Date(epochMs).toISOString() : '?';
}
