-- Tables of the database booking. A booking has no unique key here, so that a
-- doubled one would show.
CREATE TABLE bookings (
  booking text NOT NULL,
  parent text NOT NULL,
  shop text NOT NULL,
  wheel text NOT NULL,
  wheels integer NOT NULL DEFAULT 1
);
CREATE INDEX bookings_booking ON bookings (booking);
CREATE INDEX bookings_parent ON bookings (parent);
