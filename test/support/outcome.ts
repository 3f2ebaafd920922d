/**
 * What callers were told of their writes, compared with what an instance holds.
 *
 * @module
 */
import type pg from "pg";

/** What a caller was told of a write. */
export type WriteOutcome = "acknowledged" | "not run" | "unknown";

/** One write and what its caller was told. */
export interface WriteRecord {
  readonly booking: string;
  readonly outcome: WriteOutcome;
  /** Number of the result code; undefined when the error was not the proxy's. */
  readonly code?: number | undefined;
  /** Monotonic ms of the answer. */
  readonly answeredAtMs: number;
}

const INSERT =
  "INSERT INTO bookings (booking, parent, shop, wheel) VALUES ($1, 'p', 's', 'w')";

/** Number of the result code in an error; undefined when the proxy did not make it. */
export function resultCodeOf(error: unknown): number | undefined {
  const detail = (error as pg.DatabaseError).detail ?? "";
  const match = /^marjoramshed code (\d+) /.exec(detail);
  return match ? Number(match[1]) : undefined;
}

/** What an error tells of a write. */
export function outcomeOf(error: unknown): WriteOutcome {
  const detail = (error as pg.DatabaseError).detail ?? "";
  return detail.includes(" Not run.") ? "not run" : "unknown";
}

/** Books under a text of its own and records what the caller was told. */
export async function insertBooking(
  client: Pick<pg.Client, "query">,
  text: string,
): Promise<WriteRecord> {
  try {
    await client.query(INSERT, [text]);
    return {
      booking: text,
      outcome: "acknowledged",
      answeredAtMs: performance.now(),
    };
  } catch (error) {
    return {
      booking: text,
      outcome: outcomeOf(error),
      code: resultCodeOf(error),
      answeredAtMs: performance.now(),
    };
  }
}

/** Writes one after the other until it is stopped, with a new connection after each failure. */
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

  /** Ends after the present write. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#task;
  }

  /** How many writes ended in this way. */
  count(told: WriteOutcome): number {
    return this.records.filter((one) => one.outcome === told).length;
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
      const text = `${this.#prefix}-${this.records.length}`;
      const record = await insertBooking(client, text);
      this.records.push(record);
      if (record.outcome !== "acknowledged") return;
    }
  }
}

/** Differences between what callers were told and the rows that an instance holds. */
export interface Discrepancies {
  readonly lost: readonly string[];
  readonly doubled: readonly string[];
  readonly falselyNotRun: readonly string[];
}

/** Compares records with rows; after "outcome unknown" a count of 0 or 1 is right. */
export function compareRecords(
  records: readonly WriteRecord[],
  rows: readonly string[],
): Discrepancies {
  const counts = new Map<string, number>();
  for (const row of rows) counts.set(row, (counts.get(row) ?? 0) + 1);
  const select = (test: (told: WriteOutcome, count: number) => boolean) =>
    records.filter((one) => test(one.outcome, counts.get(one.booking) ?? 0))
      .map((one) => one.booking);
  return {
    lost: select((told, count) => told === "acknowledged" && count === 0),
    doubled: select((_, count) => count > 1),
    falselyNotRun: select((told, count) => told === "not run" && count > 0),
  };
}

/** No discrepancies. */
export const NO_DISCREPANCIES: Discrepancies = {
  lost: [],
  doubled: [],
  falselyNotRun: [],
};
