-- Tables of the database commission. A deposit has no unique key here, so that a
-- doubled one would show.
CREATE TABLE commissions (
  commission text PRIMARY KEY,
  patron text NOT NULL,
  site text NOT NULL
);
CREATE TABLE deposits (
  deposit text NOT NULL,
  commission text NOT NULL,
  amount_fils bigint NOT NULL
);
CREATE INDEX deposits_deposit ON deposits (deposit);
CREATE TABLE setter_assignments (
  assignment text NOT NULL,
  commission text NOT NULL,
  setter text NOT NULL
);
CREATE INDEX setter_assignments_assignment ON setter_assignments (assignment);
