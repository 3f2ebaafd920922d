/**
 * Records the outcome of writes as reported to callers, and compares the records
 * with the rows of an instance.
 *
 * @module
 */
import type pg from "pg";

/** Outcome of a write as reported to the caller. */
export type WriteOutcome = "acknowledged" | "not run" | "unknown";

/** A write and the outcome reported to its caller. */
export interface WriteRecord {
  readonly booking: string;
  readonly outcome: WriteOutcome;
  /** Number of the result code; undefined when the error does not come from the proxy. */
  readonly code?: number | undefined;
  /** Time of the response, in ms of `performance.now()`. */
  readonly answeredAtMs: number;
}

const INSERT =
  "INSERT INTO bookings (booking, parent, shop, wheel) VALUES ($1, 'p', 's', 'w')";

/** Number of the result code in an error; undefined when the error does not come from the proxy. */
export function resultCodeOf(error: unknown): number | undefined {
  const detail = (error as pg.DatabaseError).detail ?? "";
  const match = /^marjoramshed code (\d+) /.exec(detail);
  return match ? Number(match[1]) : undefined;
}

/** Outcome of a write that failed with an error. */
export function outcomeOf(error: unknown): WriteOutcome {
  const detail = (error as pg.DatabaseError).detail ?? "";
  return detail.includes(" Not run.") ? "not run" : "unknown";
}

/** Inserts a booking under a unique name and records the reported outcome. */
export async function insertBooking(
  client: Pick<pg.Client, "query">,
  booking: string,
): Promise<WriteRecord> {
  try {
    await client.query(INSERT, [booking]);
    return {
      booking: booking,
      outcome: "acknowledged",
      answeredAtMs: performance.now(),
    };
  } catch (error) {
    return {
      booking: booking,
      outcome: outcomeOf(error),
      code: resultCodeOf(error),
      answeredAtMs: performance.now(),
    };
  }
}

/** Inserts bookings sequentially until stopped; reconnects after each failure. */
export class Writer {
  readonly records: WriteRecord[] = [];
  readonly #connect: () => Promise<pg.Client>;
  readonly #prefix: string;
  readonly #task: Promise<void>;
  #stopped = false;

  constructor(prefix: string, connect: () => Promise<pg.Client>) {
    this.#prefix = prefix;
    this.#connect = connect;
    this.#task = this.#run();
  }

  /** Stops after the current write. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#task;
  }

  /** Counts the writes with an outcome. */
  count(outcome: WriteOutcome): number {
    return this.records.filter((one) => one.outcome === outcome).length;
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      const client = await this.#connect().catch(() => undefined);
      if (!client) {
        await new Promise((resolve) => setTimeout(resolve, 50));
        continue;
      }
      await this.#write(client);
      await client.end().catch(() => {});
    }
  }

  async #write(client: pg.Client): Promise<void> {
    while (!this.#stopped) {
      const booking = `${this.#prefix}-${this.records.length}`;
      const record = await insertBooking(client, booking);
      this.records.push(record);
      if (record.outcome !== "acknowledged") return;
    }
  }
}

/** Bookings whose reported outcome contradicts the rows of an instance. */
export interface Discrepancies {
  readonly lost: readonly string[];
  readonly doubled: readonly string[];
  readonly falselyNotRun: readonly string[];
}

/** Compares records with rows; a write with an unknown outcome may have 0 or 1 rows. */
export function compareRecords(
  records: readonly WriteRecord[],
  rows: readonly string[],
): Discrepancies {
  const counts = new Map<string, number>();
  for (const row of rows) counts.set(row, (counts.get(row) ?? 0) + 1);
  const select = (test: (outcome: WriteOutcome, count: number) => boolean) =>
    records.filter((one) => test(one.outcome, counts.get(one.booking) ?? 0))
      .map((one) => one.booking);
  return {
    lost: select((outcome, count) => outcome === "acknowledged" && count === 0),
    doubled: select((_, count) => count > 1),
    falselyNotRun: select((outcome, count) =>
      outcome === "not run" && count > 0
    ),
  };
}

/** The result of a comparison without discrepancies. */
export const NO_DISCREPANCIES: Discrepancies = {
  lost: [],
  doubled: [],
  falselyNotRun: [],
};
