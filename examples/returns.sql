-- Tables of the database returns.
CREATE TABLE return_log (
  entry text NOT NULL,
  shop text NOT NULL,
  wheel text NOT NULL,
  state text NOT NULL DEFAULT 'received'
);
CREATE INDEX return_log_entry ON return_log (entry);
