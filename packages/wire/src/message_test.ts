import {serialize} from 'pg-protocol';
import {describe, expect, it} from 'vitest';
import {buildErrorResponse} from './backend_message_builder.js';
import {readErrorResponse} from './backend_message_reader.js';
import {
  buildBindWithStatement,
  buildParse,
} from './frontend_message_builder.js';
import {
  readBind,
  readExecute,
  readNamedTarget,
  readParse,
  readQuery,
} from './frontend_message_reader.js';

describe('frontend messages', () => {
  it('parses messages serialized by pg-protocol', () => {
    expect(readQuery(serialize.query('SELECT 1'))).toBe('SELECT 1');
    expect(
      readParse(serialize.parse({name: 's', text: 'SELECT $1', types: [23]})),
    ).toEqual({statement: 's', text: 'SELECT $1', parameterTypes: [23]});
    expect(readExecute(serialize.execute({portal: 'p', rows: 5}))).toEqual({
      portal: 'p',
      maxRows: 5,
    });
    expect(readNamedTarget(serialize.close({type: 'P', name: 'p'}))).toEqual({
      target: 'portal',
      name: 'p',
    });
  });

  it('replaces the statement name in Bind and keeps the values', () => {
    const config = {portal: 'p', statement: 's', values: ['x', null]};
    const frame = serialize.bind(config);
    const message = readBind(frame)!;
    expect(buildBindWithStatement('t', frame, message)).toEqual(
      serialize.bind({...config, statement: 't'}),
    );
  });

  it('keeps the parameter types in Parse', () => {
    const query = {name: 's', text: 'SELECT $1', types: [23, 25]};
    expect(buildParse('s', query.text, query.types)).toEqual(
      serialize.parse(query),
    );
  });

  it('returns null for a truncated body', () => {
    const frame = serialize.parse({name: 's', text: 'SELECT $1', types: [23]});
    expect(readParse(frame.subarray(0, frame.length - 2))).toBeNull();
    expect(readQuery(Buffer.from([0x51, 0, 0, 0, 5, 0x41]))).toBeNull();
  });
});

describe('backend messages', () => {
  it('parses the fields of an ErrorResponse built by buildErrorResponse', () => {
    const fields = {severity: 'ERROR', sqlState: '25006', message: 'read only'};
    const frame = buildErrorResponse({...fields, hint: 'outcome=not_run'});
    expect(readErrorResponse(frame, 0, frame.length)).toEqual(fields);
  });
});
