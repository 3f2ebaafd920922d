/**
 * Callers with sessions: each writes, reads its write back at once, reads what
 * others wrote, and moves between proxies. Every read is checked: it must show
 * the session's own last write, and every write of others that is older than
 * the stated age.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Caller } from "./caller.ts";
import type { CallerOrder, SessionLoad } from "./orders.ts";
import type { Tally } from "./tally.ts";

const READS_AFTER_WRITE = 5;
const READS_OF_OTHERS = 4;
const STATEMENTS_PER_MOVE = 20;
const RETRY_PAUSE_MS = 50;

const WRITE = "INSERT INTO bookings (booking, parent, shop, wheel) " +
  "VALUES ($1, $2, 'shop-1', 'wheel-1')";
const READ = "SELECT booking FROM bookings WHERE booking = $1";

interface Write {
  readonly booking: string;
  /** Monotonic ms. */
  readonly acknowledgedAt: number;
}

/** Runs all sessions of an order to the end of its time. */
export async function runSessions(
  order: CallerOrder,
  load: SessionLoad,
  callers: readonly Caller[],
  tally: Tally,
): Promise<void> {
  const until = performance.now() + order.durationMs;
  const history = new History();
  await Promise.all(callers.map(async (caller) => {
    await sleep(Math.random() * load.pauseMs * READS_OF_OTHERS);
    const session = new Session(caller, load, history, tally);
    await session.run(until);
  }));
}

/** The last writes of all sessions of this process, in order of acknowledgement. */
class History {
  readonly #writes: Write[] = [];

  add(write: Write): void {
    this.#writes.push(write);
  }

  /** A write acknowledged before the time, the latest of them. */
  before(time: number): Write | undefined {
    return this.#writes.findLast((write) => write.acknowledgedAt < time);
  }
}

class Session {
  readonly #caller: Caller;
  readonly #load: SessionLoad;
  readonly #history: History;
  readonly #tally: Tally;
  #statements = Math.floor(Math.random() * STATEMENTS_PER_MOVE);
  #own: string | undefined;

  constructor(
    caller: Caller,
    load: SessionLoad,
    history: History,
    tally: Tally,
  ) {
    this.#caller = caller;
    this.#load = load;
    this.#history = history;
    this.#tally = tally;
  }

  async run(until: number): Promise<void> {
    for (let number = 1; performance.now() < until; number += 1) {
      await this.#write(`${this.#caller.name}-${Date.now()}-${number}`);
      for (let read = 0; read < READS_AFTER_WRITE; read += 1) {
        await this.#readOwn();
      }
      for (let read = 0; read < READS_OF_OTHERS; read += 1) {
        await sleep(this.#load.pauseMs * 2 * Math.random());
        await this.#readOther();
      }
    }
  }

  async #write(booking: string): Promise<void> {
    const rows = await this.#statement("write", WRITE, [
      booking,
      this.#caller.name,
    ]);
    if (!rows) return;
    this.#own = booking;
    this.#history.add({ booking, acknowledgedAt: performance.now() });
  }

  async #readOwn(): Promise<void> {
    if (!this.#own) return;
    const rows = await this.#statement("read", READ, [this.#own]);
    if (rows?.length === 0) this.#tally.readYourWritesViolations += 1;
  }

  async #readOther(): Promise<void> {
    const old = this.#history.before(performance.now() - this.#load.maxAgeMs);
    if (!old) return;
    const rows = await this.#statement("read", READ, [old.booking]);
    if (rows?.length === 0) this.#tally.ageViolations += 1;
  }

  async #statement(
    name: string,
    text: string,
    values: string[],
  ): Promise<unknown[] | undefined> {
    this.#statements += 1;
    if (this.#statements % STATEMENTS_PER_MOVE === 0) await this.#caller.move();
    try {
      await this.#caller.connect();
      const begun = performance.now();
      return await this.#timed(name, begun, this.#caller.run(text, values));
    } catch {
      await this.#caller.move();
      await sleep(RETRY_PAUSE_MS);
      return undefined;
    }
  }

  async #timed(
    name: string,
    begun: number,
    work: Promise<unknown[]>,
  ): Promise<unknown[]> {
    try {
      const rows = await work;
      this.#tally.done(name, begun);
      return rows;
    } catch (error) {
      this.#tally.failed(name, begun, error);
      throw error;
    }
  }
}
