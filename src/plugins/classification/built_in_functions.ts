/**
 * Built-in functions that are stable or immutable and change no session state,
 * so that a statement that calls them can still be classified as a read.
 * Functions that execute a text as a statement (`query_to_xml`, `ts_rewrite`)
 * are excluded regardless of their volatility.
 *
 * @module
 */

const AGGREGATES = `
  any_value array_agg avg bit_and bit_or bit_xor bool_and bool_or corr count
  covar_pop covar_samp every json_agg json_agg_strict json_object_agg
  json_object_agg_strict json_object_agg_unique jsonb_agg jsonb_agg_strict
  jsonb_object_agg jsonb_object_agg_strict jsonb_object_agg_unique max min mode
  percentile_cont percentile_disc range_agg range_intersect_agg regr_avgx
  regr_avgy regr_count regr_intercept regr_r2 regr_slope regr_sxx regr_sxy
  regr_syy stddev stddev_pop stddev_samp string_agg sum var_pop var_samp
  variance`;

const WINDOW = `
  cume_dist dense_rank first_value lag last_value lead nth_value ntile
  percent_rank rank row_number`;

const MATH = `
  abs acos acosd acosh asin asind asinh atan atan2 atan2d atand atanh cbrt ceil
  ceiling cos cosd cosh cot cotd degrees div erf erfc exp factorial floor gcd
  lcm ln log log10 min_scale mod pi power radians round scale sign sin sind
  sinh sqrt tan tand tanh trim_scale trunc width_bucket`;

const TEXT = `
  ascii bit_count bit_length btrim casefold char_length character_length chr
  concat concat_ws convert convert_from convert_to crc32 crc32c decode encode
  format get_bit get_byte initcap is_normalized left length like like_escape
  lower lpad ltrim md5 normalize notlike octet_length overlay parse_ident
  position quote_ident quote_literal quote_nullable regexp_count regexp_instr
  regexp_like regexp_match regexp_matches regexp_replace regexp_split_to_array
  regexp_split_to_table regexp_substr repeat replace reverse right rpad rtrim
  set_bit set_byte sha224 sha256 sha384 sha512 similar_escape
  similar_to_escape split_part starts_with string_to_array string_to_table
  strpos substr substring to_ascii to_bin to_hex to_oct translate unicode_assigned
  unistr upper`;

const DATE = `
  age date_add date_bin date_part date_subtract date_trunc extract isfinite
  justify_days justify_hours justify_interval make_date make_interval make_time
  make_timestamp make_timestamptz now overlaps statement_timestamp timezone
  to_char to_date to_number to_timestamp transaction_timestamp`;

const JSON_FUNCTIONS = `
  array_to_json json_array_elements json_array_elements_text json_array_length
  json_build_array json_build_object json_each json_each_text json_extract_path
  json_extract_path_text json_object json_object_keys json_populate_record
  json_populate_recordset json_scalar json_serialize json_strip_nulls
  json_to_record json_to_recordset json_typeof jsonb_array_elements
  jsonb_array_elements_text jsonb_array_length jsonb_build_array
  jsonb_build_object jsonb_concat jsonb_contained jsonb_contains jsonb_each
  jsonb_each_text jsonb_exists jsonb_exists_all jsonb_exists_any
  jsonb_extract_path jsonb_extract_path_text jsonb_insert jsonb_object
  jsonb_object_keys jsonb_path_exists jsonb_path_exists_tz jsonb_path_match
  jsonb_path_match_tz jsonb_path_query jsonb_path_query_array
  jsonb_path_query_array_tz jsonb_path_query_first jsonb_path_query_first_tz
  jsonb_path_query_tz jsonb_populate_record jsonb_populate_recordset jsonb_pretty
  jsonb_set jsonb_set_lax jsonb_strip_nulls jsonb_to_record jsonb_to_recordset
  jsonb_typeof row_to_json to_json to_jsonb`;

const ARRAYS_AND_RANGES = `
  array_append array_cat array_dims array_fill array_length array_lower
  array_ndims array_position array_positions array_prepend array_remove
  array_replace array_reverse array_sort array_to_string array_upper cardinality
  daterange generate_series generate_subscripts int4multirange int4range
  int8multirange int8range isempty lower_inc lower_inf multirange numrange
  range_merge trim_array tsrange tstzrange unnest upper_inc upper_inf`;

const TEXT_SEARCH = `
  array_to_tsvector numnode phraseto_tsquery plainto_tsquery querytree
  setweight strip to_tsquery to_tsvector ts_delete ts_filter ts_headline
  ts_rank ts_rank_cd tsquery_phrase tsvector_to_array websearch_to_tsquery`;

const NETWORK_AND_GEOMETRY = `
  abbrev area broadcast center diagonal diameter family height host hostmask
  inet_merge inet_same_family isclosed isopen macaddr8_set7bit masklen netmask
  network npoints pclose popen radius set_masklen width`;

const CATALOG = `
  col_description format_type has_any_column_privilege has_column_privilege
  has_database_privilege has_schema_privilege has_sequence_privilege
  has_table_privilege num_nonnulls num_nulls obj_description pg_get_constraintdef
  pg_get_expr pg_get_indexdef pg_get_serial_sequence pg_get_userbyid
  pg_get_viewdef pg_table_is_visible pg_type_is_visible pg_typeof
  shobj_description to_regclass to_regnamespace to_regproc to_regrole to_regtype
  uuid_extract_timestamp uuid_extract_version version`;

/** Names of the functions that a statement classified as a read may call. */
export const STABLE_FUNCTIONS: ReadonlySet<string> = new Set(
  [
    AGGREGATES,
    WINDOW,
    MATH,
    TEXT,
    DATE,
    JSON_FUNCTIONS,
    ARRAYS_AND_RANGES,
    TEXT_SEARCH,
    NETWORK_AND_GEOMETRY,
    CATALOG,
  ].flatMap((names) => names.trim().split(/\s+/)),
);

/** Whether a call of the function may leave session state on the upstream connection. */
export function leavesSessionState(name: string): boolean {
  if (name.startsWith("pg_advisory_xact_lock")) return false;
  if (name.startsWith("pg_try_advisory_xact_lock")) return false;
  return name.startsWith("pg_advisory_") ||
    name.startsWith("pg_try_advisory_") ||
    name.startsWith("dblink_") ||
    name === "setseed";
}
