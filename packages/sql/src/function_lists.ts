/**
 * Allow-lists of functions, operators and types that a read-only statement may
 * use. A name that is not listed may have side effects, so the statement is
 * classified as a write.
 */

function createNameSet(names: string): ReadonlySet<string> {
  return new Set(names.split(/\s+/).filter(name => name !== ''));
}

/**
 * Immutable and stable built-in functions, plus `pg_sleep`, whose only effect
 * is a delay.
 *
 * @internal
 */
export const READ_ONLY_FUNCTIONS = createNameSet(`
  abs ceil ceiling floor round trunc sign mod div power sqrt cbrt exp ln log
  greatest least width_bucket degrees radians sin cos tan asin acos atan atan2
  length char_length character_length octet_length bit_length lower upper
  initcap trim btrim ltrim rtrim lpad rpad left right repeat replace reverse
  substr substring position strpos split_part starts_with translate overlay
  concat concat_ws format ascii chr md5 sha256 encode decode to_hex
  regexp_replace regexp_match regexp_matches regexp_split_to_array
  regexp_split_to_table regexp_like regexp_count regexp_instr regexp_substr
  like_escape similar_to_escape string_to_array string_to_table
  quote_ident quote_literal quote_nullable
  coalesce nullif num_nulls num_nonnulls
  to_char to_date to_timestamp to_number
  now transaction_timestamp statement_timestamp age date_part date_trunc
  date_bin extract make_date make_time make_timestamp make_timestamptz
  make_interval justify_days justify_hours justify_interval isfinite timezone
  overlaps
  count sum avg min max bool_and bool_or every array_agg string_agg json_agg
  jsonb_agg json_object_agg jsonb_object_agg stddev stddev_pop stddev_samp
  variance var_pop var_samp corr bit_and bit_or percentile_cont
  percentile_disc mode any_value
  row_number rank dense_rank percent_rank cume_dist ntile lag lead first_value
  last_value nth_value
  array_append array_cat array_length array_lower array_upper array_ndims
  array_position array_positions array_prepend array_remove array_replace
  array_to_string cardinality unnest
  json_array_elements json_array_elements_text json_array_length
  json_build_array json_build_object json_each json_each_text
  json_extract_path json_extract_path_text json_object_keys json_typeof
  jsonb_array_elements jsonb_array_elements_text jsonb_array_length
  jsonb_build_array jsonb_build_object jsonb_each jsonb_each_text
  jsonb_extract_path jsonb_extract_path_text jsonb_object_keys jsonb_set
  jsonb_strip_nulls jsonb_typeof jsonb_pretty row_to_json to_json to_jsonb
  lower_inc upper_inc isempty int4range int8range numrange tsrange tstzrange
  daterange to_tsvector to_tsquery plainto_tsquery phraseto_tsquery
  websearch_to_tsquery ts_rank ts_headline
  generate_series generate_subscripts pg_sleep version pg_typeof
`);

/** Built-in operators. @internal */
export const READ_ONLY_OPERATORS = createNameSet(`
  = <> != < > <= >= + - * / % ^ || && @> <@ -> ->> #> #>> ? ?| ?& & | # ~ <<
  >> ~* !~ !~* ~~ !~~ ~~* !~~* @@ |/ ||/ @ -|- &< &> #- BETWEEN
`);

/** Built-in types that a cast may name. @internal */
export const READ_ONLY_TYPES = createNameSet(`
  bool boolean int2 int4 int8 smallint integer bigint float4 float8 numeric
  decimal real text varchar bpchar char name bytea date time timetz timestamp
  timestamptz interval json jsonb uuid inet cidr macaddr bit varbit money oid
  tsvector tsquery int4range int8range numrange tsrange tstzrange daterange
  point box circle line lseg path polygon xml
`);

/**
 * Functions that set or depend on connection state beyond the transaction,
 * with the name of the feature to report.
 *
 * @internal
 */
export const SESSION_STATE_FUNCTIONS: ReadonlyMap<string, string> = new Map([
  ['pg_advisory_lock', 'session advisory locks'],
  ['pg_advisory_lock_shared', 'session advisory locks'],
  ['pg_try_advisory_lock', 'session advisory locks'],
  ['pg_try_advisory_lock_shared', 'session advisory locks'],
  ['pg_advisory_unlock', 'session advisory locks'],
  ['pg_advisory_unlock_shared', 'session advisory locks'],
  ['pg_advisory_unlock_all', 'session advisory locks'],
  ['pg_notify', 'NOTIFY'],
  ['pg_listening_channels', 'LISTEN'],
  ['currval', 'currval() and lastval()'],
  ['lastval', 'currval() and lastval()'],
  ['set_config', 'set_config()'],
]);
