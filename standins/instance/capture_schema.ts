/**
 * Internal schema of an instance: triggers that record the rows that a transaction
 * changes, and an event trigger that records the SQL text of schema changes.
 *
 * @module
 */

/** Name of the schema that contains the internal objects. */
export const INTERNAL_SCHEMA = "marjoramshed_internal";

/** SQLSTATE of the notice that reports that a transaction writes. */
export const WRITE_NOTICE = "MJ001";

/** SQLSTATE of the notice that reports a schema change. */
export const SCHEMA_NOTICE = "MJ002";

const NOTICES = `
CREATE FUNCTION ${INTERNAL_SCHEMA}.mark() RETURNS trigger LANGUAGE plpgsql AS $$
BEGIN
  RAISE INFO USING ERRCODE = '${WRITE_NOTICE}', MESSAGE = 'write';
  IF TG_OP = 'TRUNCATE' THEN
    INSERT INTO ${INTERNAL_SCHEMA}.change (kind, relation)
    VALUES ('clear', format('%I.%I', TG_TABLE_SCHEMA, TG_TABLE_NAME));
  END IF;
  RETURN NULL;
END $$;
`;

const ROW_CAPTURE = `
CREATE FUNCTION ${INTERNAL_SCHEMA}.capture() RETURNS trigger LANGUAGE plpgsql
SET datestyle = 'ISO, MDY' SET intervalstyle = 'postgres' SET extra_float_digits = 1 AS $$
DECLARE
  relation text := format('%I.%I', TG_TABLE_SCHEMA, TG_TABLE_NAME);
BEGIN
  IF TG_OP = 'INSERT' THEN
    INSERT INTO ${INTERNAL_SCHEMA}.change (kind, relation, new)
    VALUES ('insert', relation, NEW::text);
  ELSIF TG_OP = 'UPDATE' THEN
    INSERT INTO ${INTERNAL_SCHEMA}.change (kind, relation, old, new)
    VALUES ('update', relation, OLD::text, NEW::text);
  ELSE
    INSERT INTO ${INTERNAL_SCHEMA}.change (kind, relation, old)
    VALUES ('delete', relation, OLD::text);
  END IF;
  RETURN NULL;
END $$;
`;

const INSTALL = `
CREATE FUNCTION ${INTERNAL_SCHEMA}.install() RETURNS void LANGUAGE plpgsql AS $$
DECLARE
  found record;
BEGIN
  FOR found IN
    SELECT c.oid::regclass AS name, c.relkind
    FROM pg_class c JOIN pg_namespace n ON n.oid = c.relnamespace
    WHERE c.relkind IN ('r', 'p')
      AND n.nspname NOT IN ('information_schema', '${INTERNAL_SCHEMA}')
      AND n.nspname NOT LIKE 'pg\\_%'
      AND NOT EXISTS (
        SELECT FROM pg_trigger
        WHERE tgrelid = c.oid AND tgname = 'marjoramshed_mark')
  LOOP
    EXECUTE format('CREATE TRIGGER marjoramshed_mark
      BEFORE INSERT OR UPDATE OR DELETE OR TRUNCATE ON %s
      FOR EACH STATEMENT EXECUTE FUNCTION ${INTERNAL_SCHEMA}.mark()', found.name);
    IF found.relkind = 'r' THEN
      EXECUTE format('CREATE TRIGGER marjoramshed_capture
        AFTER INSERT OR UPDATE OR DELETE ON %s
        FOR EACH ROW EXECUTE FUNCTION ${INTERNAL_SCHEMA}.capture()', found.name);
    END IF;
  END LOOP;
END $$;
`;

// Values that a schema change computes (a default of now(), the rows of CREATE TABLE AS)
// may differ between instances, so the rows of the table are recorded after the statement.
const SCHEMA_CAPTURE = `
CREATE FUNCTION ${INTERNAL_SCHEMA}.capture_schema() RETURNS event_trigger LANGUAGE plpgsql AS $$
DECLARE
  context text;
  found record;
BEGIN
  GET DIAGNOSTICS context = PG_CONTEXT;
  IF context ~ '${INTERNAL_SCHEMA}.install' THEN RETURN; END IF;
  IF context ~ E'\\n' THEN
    RAISE EXCEPTION USING ERRCODE = '0A000',
      MESSAGE = 'schema changes inside functions are not supported';
  END IF;
  IF tg_tag IN ('CREATE TABLE AS', 'SELECT INTO') AND current_query() ~ '\\$[0-9]' THEN
    RAISE EXCEPTION USING ERRCODE = '0A000',
      MESSAGE = 'parameters in schema changes are not supported';
  END IF;
  RAISE INFO USING ERRCODE = '${WRITE_NOTICE}', MESSAGE = 'write';
  RAISE INFO USING ERRCODE = '${SCHEMA_NOTICE}', MESSAGE = 'schema';
  INSERT INTO ${INTERNAL_SCHEMA}.change (kind, old, new)
  VALUES ('schema', current_setting('search_path'), current_query());
  FOR found IN
    SELECT c.object_identity AS name, c.objid, c.schema_name
    FROM pg_event_trigger_ddl_commands() c
    WHERE c.object_type IN ('table', 'sequence', 'view')
  LOOP
    IF found.schema_name = 'pg_temp' THEN
      RAISE EXCEPTION USING ERRCODE = '0A000',
        MESSAGE = 'temporary relations are not supported';
    END IF;
    IF tg_tag IN ('ALTER TABLE', 'CREATE TABLE AS', 'SELECT INTO')
      AND EXISTS (SELECT FROM pg_class WHERE oid = found.objid AND relkind = 'r')
    THEN
      INSERT INTO ${INTERNAL_SCHEMA}.change (kind, relation) VALUES ('clear', found.name);
      EXECUTE format('INSERT INTO ${INTERNAL_SCHEMA}.change (kind, relation, new)
        SELECT ''insert'', %L, marjoramshed_row::text FROM ONLY %s marjoramshed_row',
        found.name, found.name);
    END IF;
  END LOOP;
  PERFORM ${INTERNAL_SCHEMA}.install();
END $$;
CREATE EVENT TRIGGER marjoramshed_schema ON ddl_command_end
EXECUTE FUNCTION ${INTERNAL_SCHEMA}.capture_schema();
`;

/** SQL that creates the internal schema; runs before any table of a caller exists. */
export const CREATE_INTERNAL_SCHEMA = `
CREATE SCHEMA ${INTERNAL_SCHEMA};
CREATE TABLE ${INTERNAL_SCHEMA}.change (
  n bigserial, kind text NOT NULL, relation text, old text, new text);
${NOTICES}${ROW_CAPTURE}${INSTALL}
-- A real sleep would block the whole process, so the session waits instead.
CREATE OR REPLACE FUNCTION pg_catalog.pg_sleep(double precision) RETURNS void
LANGUAGE sql AS 'SELECT';
`;

/** SQL that starts the capture; runs after the initial SQL, which is the same on every instance. */
export const START_CAPTURE = `
SELECT ${INTERNAL_SCHEMA}.install();
${SCHEMA_CAPTURE}`;
