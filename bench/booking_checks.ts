/**
 * What bookings tell of a failover: the gap, and what was lost or doubled.
 *
 * @module
 */
import type { Stack } from "../standins/stack/stack.ts";
import type { Booking } from "./booking_caller.ts";

/** Bookings that were acknowledged but are not stored, and those stored more than once. */
export interface BookingFaults {
  readonly lost: number;
  readonly doubled: number;
}

/**
 * Longest time without an acknowledgement that ends after `from` and before
 * `until` (ms of `performance.now()`), rounded; null when there was none after it.
 */
export function failoverGap(
  bookings: readonly Booking[],
  from: number,
  until = Infinity,
): number | null {
  const times = bookings.map((one) => one.acknowledgedAt)
    .filter((time) => time < until)
    .sort((a, b) => a - b);
  const after = times.findIndex((time) => time > from);
  if (after < 1) return null;
  // An acknowledgement that was already on its way may still arrive after the fault.
  const gaps = times.slice(after - 1)
    .map((time, index, rest) => (rest[index + 1] ?? time) - time);
  return Math.round(Math.max(...gaps));
}

/** Compares what callers were told with what the primary holds. */
export async function checkBookings(
  stack: Stack,
  database: string,
  bookings: readonly Booking[],
): Promise<BookingFaults> {
  const primary = await stack.findPrimary(database);
  if (!primary) throw new Error(`${database} has no primary at the end`);
  const rows = await stack.query(
    primary.instance.name,
    "SELECT booking, count(*)::int AS copies FROM bookings GROUP BY booking",
  );
  const stored = new Map(
    rows.map((row) => [String(row["booking"]), Number(row["copies"])]),
  );
  return {
    lost: bookings.filter((one) => !stored.has(one.id)).length,
    doubled: [...stored.values()].filter((copies) => copies > 1).length,
  };
}
