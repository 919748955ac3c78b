import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {SessionTokenCodec} from '@filbertrun/session/session_token_codec.js';
import {MAX_REQUEST_KEY_LENGTH} from '@filbertrun/sql/request_key_comment.js';
import {describe, expect, it} from 'vitest';
import {LocalStatements} from './local_statements.js';
import {PreparedStatements} from './prepared_statements.js';
import {SessionState} from './session_state.js';

function createStatements(): LocalStatements {
  return LocalStatements.create(
    SessionTokenCodec.create({signingKeys: ['signing-key-for-tests']}),
    SessionState.create('group', VirtualClock.create()),
    PreparedStatements.create(),
  );
}

describe('SET filbertrun.request_key', () => {
  it('accepts a key as long as one in a comment and no longer', () => {
    const parameter = 'filbertrun.request_key';
    const longest = 'k'.repeat(MAX_REQUEST_KEY_LENGTH);
    expect(createStatements().set(parameter, longest).ok).toBe(true);
    expect(createStatements().set(parameter, `${longest}k`)).toMatchObject({
      ok: false,
      error: {kind: 'invalidParameter'},
    });
  });
});
