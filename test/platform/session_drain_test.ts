import { describe, it } from "node:test";
import { expect } from "earl";
import { clock } from "../../src/kernel/clock.ts";
import type {
  CallerChannel,
  CallerRequest,
  CallerStatement,
} from "../../src/plugins/sessions/caller.ts";
import { CallerSession } from "../../src/plugins/sessions/caller_session.ts";
import { SessionDrain } from "../../src/plugins/sessions/session_drain.ts";
import type { SessionContext } from "../../src/plugins/sessions/session_context.ts";
import { CallerIdentity } from "../../src/plugins/accounts/caller_identity.ts";
import type { Route } from "../../src/plugins/deployment/routes.ts";
import { sleep } from "../../src/utils/sleep.ts";
import { createProxy, type GroupLoad } from "./fixtures/loaded_group.ts";
import { SimulatedInstance } from "./fixtures/simulated_instance.ts";
import { runInVirtualTime } from "./fixtures/virtual_time.ts";

const STOP_TIMEOUT_MS = 6_000;
const DEADLINE_MS = 5_100;
const STOP_AT_MS = 1_000;
const WORK_MS = 30;

const route: Route = {
  database: "booking",
  group: "g",
  consistency: "primary",
  maxAge: 0,
  statementTimeout: 2_500,
  targetLatency: 400,
  priority: "normal",
  rank: 2,
  isPublic: false,
};

const load: GroupLoad = {
  proxies: 1,
  slots: 3,
  queue: 100,
  connections: 22,
  handshake: 12,
  delay: 1,
  lagging: 0,
  kinds: [{
    route,
    rate: 1,
    work: WORK_MS,
    effect: "write",
    target: 400,
    patience: 2_500,
  }],
  from: 0,
  until: 1,
  seed: 1,
};

type Reply = "done" | "not run" | "outcome unknown";

/** A caller in memory that sends one statement at a time. */
class Caller implements CallerChannel {
  /** Replies to the statements that were sent after the stop began; undefined for one that got none. */
  readonly replies: (Reply | undefined)[] = [];
  closedAt: number | undefined;
  lastStatement: CallerStatement["kind"] | undefined;
  #request: CallerRequest | undefined;
  #wakeSession: (() => void) | undefined;
  #wakeCaller: (() => void) | undefined;
  #reply: Reply | undefined;

  get inputEmpty(): boolean {
    return this.#request === undefined;
  }

  async run(id: string, statement: CallerStatement): Promise<void> {
    const sentAt = clock.now();
    this.lastStatement = statement.kind;
    this.#reply = undefined;
    this.#request = { id, statement, receivedAt: sentAt };
    this.#wakeSession?.();
    await new Promise<void>((resolve) => {
      this.#wakeCaller = resolve;
    });
    if (sentAt >= STOP_AT_MS) this.replies.push(this.#reply);
  }

  async next(): Promise<CallerRequest | undefined> {
    while (!this.#request && this.closedAt === undefined) {
      await new Promise<void>((resolve) => {
        this.#wakeSession = resolve;
      });
    }
    return this.takeReceived();
  }

  takeReceived(): CallerRequest | undefined {
    const request = this.#request;
    this.#request = undefined;
    return request;
  }

  answer(): void {
    this.#settle("done");
  }

  complete(): void {
    this.#settle("done");
  }

  refuse({ code }: { readonly code: { readonly outcome: Reply } }): void {
    this.#settle(code.outcome);
  }

  close(): void {
    this.closedAt ??= clock.now();
    this.#wakeSession?.();
    this.#wakeCaller?.();
  }

  #settle(reply: Reply): void {
    if (this.closedAt !== undefined) return;
    this.#reply = reply;
    this.#wakeCaller?.();
  }
}

/** What one caller sends, in a loop, and its pause in ms between two operations. */
interface Habit {
  readonly operation: readonly CallerStatement[];
  readonly pause: number;
  /** Pause within an operation, in ms. */
  readonly step?: number;
  /** Time that each statement occupies a slot, in ms. */
  readonly work?: number;
}

const write: CallerStatement = { kind: "write", text: "WRITE a b" };

/** Plays sessions through a stop; the time is in ms since its begin. */
async function playStop(
  habits: readonly Habit[],
): Promise<readonly Caller[]> {
  const callers = habits.map(() => new Caller());
  const works = new Map<string, number>();
  await runInVirtualTime(1, 20_000, () => {
    const instances = new Map([[
      "primary",
      new SimulatedInstance(load, false),
    ]]);
    const context: SessionContext = createProxy(
      load,
      instances,
      { workOf: (id) => works.get(id ?? "") ?? 1 },
    );
    const sessions = callers.map((caller) =>
      new CallerSession(context, caller, {
        database: route.database,
        identity: new CallerIdentity(undefined),
      })
    );
    for (const [index, caller] of callers.entries()) {
      void sessions[index]!.run();
      void useSession(caller, habits[index]!, index, works);
    }
    void sleep(STOP_AT_MS).then(async () => {
      const drain = new SessionDrain({
        stopTimeout: STOP_TIMEOUT_MS,
        callers: () =>
          sessions
            .filter((_, index) => callers[index]!.closedAt === undefined)
            .map((session) => ({ session, reject: () => {} })),
      });
      await drain.run(STOP_AT_MS + DEADLINE_MS);
    });
  });
  return callers;
}

async function useSession(
  caller: Caller,
  { operation, pause, step = 2, work = WORK_MS }: Habit,
  index: number,
  works: Map<string, number>,
): Promise<void> {
  await sleep(index);
  for (let turn = 0;; turn += 1) {
    for (const [place, statement] of operation.entries()) {
      if (place > 0) await sleep(step);
      if (caller.closedAt !== undefined) return;
      const id = `${index}.${turn}.${place}`;
      works.set(id, work);
      await caller.run(id, statement);
    }
    await sleep(pause);
  }
}

/** Time in ms from the begin of the stop to the end of a session. */
function endOf({ closedAt }: Caller): number {
  return (closedAt ?? Infinity) - STOP_AT_MS;
}

describe("the sessions of a proxy that stops", () => {
  // Guards against statements that are cut off when sessions stay in use until the stop's deadline.
  it("end with an answer when their callers never pause for long", async () => {
    const callers = await playStop(
      Array.from({ length: 16 }, () => ({ operation: [write], pause: 40 })),
    );
    for (const caller of callers) {
      expect(caller.replies.every((reply) => reply === "done")).toEqual(true);
      expect(endOf(caller) < STOP_TIMEOUT_MS / 2).toEqual(true);
    }
  });

  it("do not end between the statements of one operation", async () => {
    const operation: readonly CallerStatement[] = [
      { kind: "set", name: "tenant", value: "t1" },
      {
        kind: "prepare",
        name: "s1",
        shape: { effect: "write", shape: "q" },
      },
      { kind: "execute", name: "s1", arguments: "a b" },
    ];
    const callers = await playStop(
      Array.from({ length: 8 }, () => ({ operation, pause: 60, step: 40 })),
    );
    for (const caller of callers) {
      expect(caller.replies.every((reply) => reply === "done")).toEqual(true);
      expect(caller.lastStatement).toEqual("execute");
    }
  });

  it("end when they are idle, once new callers no longer arrive in numbers", async () => {
    const [caller] = await playStop([{ operation: [write], pause: 30_000 }]);
    expect(caller!.replies).toEqual([]);
    expect(endOf(caller!) < STOP_TIMEOUT_MS / 3).toEqual(true);
  });

  it("keep a transaction for the first half of the time, then refuse its commit as not run", async () => {
    const read: CallerStatement = { kind: "read", text: "READ a" };
    const operation: readonly CallerStatement[] = [
      { kind: "begin", readOnly: false },
      ...Array.from({ length: 5 }, () => read),
      { kind: "commit", text: "COMMIT" },
    ];
    const [inTime, late] = await playStop([
      { operation, pause: 100, step: 580 },
      { operation, pause: 100, step: 700 },
    ]);
    expect(inTime!.replies).toEqual(inTime!.replies.map(() => "done"));
    expect(late!.replies.at(-1)).toEqual("not run");
    for (const { lastStatement } of [inTime!, late!]) {
      expect(lastStatement).toEqual("commit");
    }
  });

  it("tell the truth about a statement that is still running at the deadline", async () => {
    const operation: readonly CallerStatement[] = [
      { kind: "set", name: "tenant", value: "t1" },
      write,
    ];
    const [caller] = await playStop([
      { operation, pause: 0, step: STOP_AT_MS + 500, work: 60_000 },
    ]);
    expect(caller!.replies).toEqual(["outcome unknown"]);
    expect(endOf(caller!)).toEqual(DEADLINE_MS);
  });

  it("refuse at once what arrives when too little time is left", async () => {
    const set: CallerStatement = { kind: "set", name: "a", value: "b" };
    const [caller] = await playStop([{ operation: [set], pause: 100 }]);
    expect(caller!.replies.at(-1)).toEqual("not run");
    expect(caller!.replies.slice(0, -1).every((one) => one === "done"))
      .toEqual(true);
    expect(endOf(caller!) < DEADLINE_MS).toEqual(true);
  });
});
