## Statements that depend on the state of a session.
COPY t FROM STDIN
copy (select 1) to stdout
LISTEN news
NOTIFY news, 'x'
UNLISTEN *
SET search_path = 'x'
SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY
SET SESSION AUTHORIZATION ada
SET ROLE ada
SET LOCAL standard_conforming_strings = off
SET LOCAL client_encoding = 'SJIS'
BEGIN; SET LOCAL standard_conforming_strings = off; COMMIT
RESET search_path
PREPARE p AS SELECT 1
EXECUTE p(1)
DEALLOCATE p
DISCARD PLANS
CREATE TEMP TABLE x (a int)
CREATE LOCAL TEMPORARY TABLE x (a int)
CREATE OR REPLACE TEMP VIEW x AS SELECT 1
SELECT * INTO TEMP x FROM t
SELECT pg_advisory_lock(1)
SELECT 1 WHERE pg_catalog.pg_try_advisory_lock(1, 2)
SELECT "pg_advisory_unlock_all"()
SELECT set_config('search_path', '', false)
DECLARE c CURSOR WITH HOLD FOR SELECT 1
DECLARE c CURSOR FOR SELECT 1
INSERT INTO t VALUES (1); LISTEN news
SELECT 1; COPY t TO STDOUT
