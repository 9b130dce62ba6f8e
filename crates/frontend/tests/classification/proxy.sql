## Statements that the proxy answers.

;;
-- only a comment
SET flamingorock.rank = 'urgent'
SET SESSION flamingorock.rank TO background
set "flamingorock"."rank" = "normal"
SET flamingorock.rank TO DEFAULT
SET flamingorock.rank = 'Urgent'
SET flamingorock.max_staleness_ms = 500
SET flamingorock.max_staleness_ms = '0'
SET flamingorock.max_staleness_ms = 86400001
SET flamingorock.max_staleness_ms = 'soon'
SET flamingorock.deadline_ms = 0
SET flamingorock.deadline_ms = 1.5
SET flamingorock.unknown = 1
SET LOCAL flamingorock.rank = 'urgent'
SET LOCAL standard_conforming_strings = on
SHOW flamingorock.rank
SHOW application_name
RESET flamingorock.deadline_ms
RESET ALL
SET application_name = 'crew''s phone'
SET client_encoding = 'UTF8'
SET NAMES 'utf-8'
SET client_encoding = LATIN1
SET extra_float_digits = 3
SET extra_float_digits = -1
SET DateStyle TO ISO, MDY
SET datestyle = 'ISO'
SET DateStyle = 'German'
SET TimeZone = 'UTC'
SET TIME ZONE 'Etc/UTC'
SET TIME ZONE LOCAL
SET client_min_messages TO warning
SET standard_conforming_strings = on
SET standard_conforming_strings = off
DISCARD ALL
DEALLOCATE ALL
DEALLOCATE PREPARE ALL
SET extra_float_digits = 3; SET application_name = 'x'
SET application_name = 'x'; SELECT 1
SELECT 1; SET application_name = 'x'
