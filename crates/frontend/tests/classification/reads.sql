## Pure queries, and queries that only look pure.
SELECT 1
select a, b from t where c = $1 order by d limit 10 offset (2);
TABLE t
VALUES (1), (2)
SHOW server_version
SHOW transaction_read_only
SELECT count(*), SUM (a), pg_catalog.lower(b) FROM t GROUP BY (c)
SELECT a::numeric(10, 2) FROM t WHERE x IN (1, 2) AND EXISTS (SELECT 1) AND NOT (y)
SELECT rank() OVER (PARTITION BY a ORDER BY b), count(*) FILTER (WHERE c) FROM t
WITH x AS (SELECT 1) SELECT * FROM x
SELECT 'a;b', 'it''s', $$x;y$$, $tag$ $$ nextval('s') $tag$ FROM t
SELECT 1 /* a /* nested */ nextval('s') */ -- nextval('s')\n + 2
SELECT 'nextval(' || 'back\\', "nextval" FROM t
SELECT 'now', now(), CURRENT_TIMESTAMP
SELECT nextval('s')
SELECT nextval /* comment */ ('s')
SELECT "count"(a) FROM t
SELECT other.count(a) FROM t
SELECT over(1), filter(2), by(3) FROM t
SELECT a::character varying(5) FROM t LEFT JOIN (TABLE u) AS u ON a LIKE ('x%')
SELECT like(a, b) FROM t
SELECT a FROM t WHERE join(a)
SELECT a FROM t ORDER BY ilike(a, b)
SELECT varying(a) FROM t
SELECT E'\\'' || nextval('s') || ''
SELECT E'\\' nextval(' || 'x'
SELECT * FROM t FOR UPDATE
SELECT * FROM t FOR SHARE
SELECT * FROM t FOR NO KEY UPDATE
SELECT * FROM t FOR KEY SHARE
SELECT * INTO copy_of_t FROM t
WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x
WITH x AS (SELECT 1) INSERT INTO t SELECT * FROM x
(SELECT 1)
SELECT 1; SELECT 2
SELECT 1 AS "unclosed
SELECT 1 /* unclosed
SELECT $tag$ unclosed
SELECT a$b$c, nextval('s') FROM t WHERE d = '$b$'
SELECT $1$2, x'1F', U&'d\\0061t\\+000061', n'x' FROM été
EXPLAIN SELECT 1
