/**
 * Writes to the shared rows through other proxies, while the store turns one away.
 *
 * @module
 */
import { beforeEach, describe } from "node:test";
import { expect } from "earl";
import { err, ok, okAsync, ResultAsync } from "neverthrow";
import { StoreCoordination } from "../../platform/store_coordination.ts";
import { createEventLog } from "../../src/kernel/events.ts";
import { createFailure, ResultCodes } from "../../src/kernel/result_codes.ts";
import type { GroupRecord } from "../../src/plugins/leadership/coordination.ts";
import { WriteDelegation } from "../../src/plugins/leadership/write_delegation.ts";
import { acquireLink } from "../../src/plugins/sessions/link_run.ts";
import { Rows } from "../../standins/metadata_store/rows.ts";
import { MemoryStore } from "./fixtures/memory_store.ts";
import { itInVirtualTime as it } from "./fixtures/virtual_time.ts";

const log = createEventLog("silent", {});
const sleep = (duration: number) =>
  new Promise((resolve) => setTimeout(resolve, duration));

const changing: GroupRecord = {
  phase: "changing",
  primary: "p",
  term: 1,
  holder: "a",
  holderLife: "a",
  planned: true,
  expiresAt: 1e12,
  operation: "begin",
};
const steady: GroupRecord = {
  ...changing,
  phase: "steady",
  primary: "r",
  term: 2,
  operation: "end",
};

type Handler = (input: unknown) => unknown;

/** Proxies that can call each other. */
class Network {
  readonly rows = new Rows();
  readonly handlers = new Map<string, Handler>();
  /** Addresses of proxies that answer nobody. */
  readonly silent = new Set<string>();
  questions = 0;
}

class Proxy {
  readonly store: MemoryStore;
  readonly coordination: StoreCoordination;

  constructor(name: string, network: Network) {
    this.store = new MemoryStore(network.rows);
    const address = `${name}:1`;
    const delegation = new WriteDelegation({
      proxy: name,
      zone: name,
      peers: {
        serve: (_, handler) =>
          void network.handlers.set(address, handler as Handler),
        call: (to, _, input) => {
          network.questions += 1;
          const handler = network.handlers.get(to);
          const answer = handler && !network.silent.has(to)
            ? Promise.resolve(handler(input)).then((output) =>
              ok(output as never)
            )
            : Promise.resolve(
              err(createFailure(ResultCodes.PEER_UNAVAILABLE, "silent")),
            );
          return new ResultAsync(answer);
        },
      },
      log,
    });
    this.coordination = new StoreCoordination({
      proxy: name,
      row: { address, zone: name },
      store: this.store,
      notices: {
        announce: () => {},
        acknowledge: () => Promise.resolve(false),
      },
      delegation,
      log,
    });
    delegation.serve(this.coordination);
  }

  async poll(): Promise<void> {
    const reply = await this.store.read("marjoramshed");
    if (reply.isErr()) return;
    this.coordination.replaceAll(reply.value.rows, reply.value.version);
    this.coordination.confirmed(reply.value);
    await sleep(1);
  }
}

describe("a proxy that the store turns away", () => {
  let network: Network;
  let a: Proxy;
  let b: Proxy;
  let c: Proxy;
  const pollAll = async () => {
    for (const proxy of [a, b, c]) await proxy.poll();
  };
  const groupRow = () => b.coordination.group("ledger")?.value;

  beforeEach(() => {
    network = new Network();
    [a, b, c] = ["a", "b", "c"].map((name) => new Proxy(name, network)) as [
      Proxy,
      Proxy,
      Proxy,
    ];
  });

  async function begin(): Promise<number> {
    for (let turn = 0; turn < 3; turn += 1) await pollAll();
    const begun = await a.coordination.putGroup("ledger", 0, changing);
    await pollAll();
    return begun._unsafeUnwrap().version;
  }

  // Guards against a primary that nobody learns of until the store serves the holder again (review/10).
  it("ends its change of primary through another one", async () => {
    const version = await begin();
    a.store.fate = "refused";
    const ended = await a.coordination.putGroup("ledger", version, steady);
    expect(ended.isOk()).toEqual(true);
    await b.poll();
    expect(groupRow()?.primary).toEqual("r");
    expect(a.coordination.group("ledger")?.value.primary).toEqual("r");
  });

  it("asks a second one if the first is silent", async () => {
    const version = await begin();
    a.store.fate = "refused";
    network.silent.add("b:1");
    for (let turn = 0; turn < 5; turn += 1) {
      const known = a.coordination.group("ledger")!.version;
      const record = { ...steady, operation: `turn ${turn}` };
      const ended = await a.coordination.putGroup("ledger", known, record);
      expect(ended.isOk()).toEqual(true);
    }
    expect(a.coordination.group("ledger")!.version > version).toEqual(true);
  });

  it("does not replace a row that another one has changed since", async () => {
    const version = await begin();
    const other = { ...changing, holder: "b", operation: "takeover" };
    await b.coordination.putGroup("ledger", version, other);
    a.store.fate = "refused";
    const ended = await a.coordination.putGroup("ledger", version, steady);
    expect(ended._unsafeUnwrapErr().kind).toEqual("conflict");
    await b.poll();
    expect(groupRow()?.operation).toEqual("takeover");
  });

  // Guards against a write that counts as lost to another proxy although its own lost call took effect.
  it("takes a row that its own lost call has written for its own", async () => {
    const version = await begin();
    a.store.fate = "reply lost";
    const ending = a.coordination.putGroup("ledger", version, steady);
    setTimeout(() => void a.poll(), 700);
    expect((await ending).isOk()).toEqual(true);
    await b.poll();
    expect(groupRow()?.primary).toEqual("r");
  });

  it("registers and marks silent proxies through another one", async () => {
    await begin();
    a.store.fate = "refused";
    await a.coordination.markAbsent(["c"]);
    await b.poll();
    expect(b.coordination.absentFor("c") !== undefined).toEqual(true);
    await b.coordination.markAbsent(["a"]);
    await a.poll();
    expect(a.coordination.confirmedAt).toEqual(-Infinity);
    await a.poll();
    await a.poll();
    expect(a.coordination.confirmedAt > -Infinity).toEqual(true);
  });

  // Guards against calls of all proxies to a store that is away for all.
  it("is not served by one that the store has not answered lately either", async () => {
    const version = await begin();
    a.store.fate = "refused";
    await sleep(2_500);
    const writes = b.store.writes.length + c.store.writes.length;
    const ended = await a.coordination.putGroup("ledger", version, steady);
    expect(ended._unsafeUnwrapErr().kind).toEqual("refused");
    expect(b.store.writes.length + c.store.writes.length).toEqual(writes);
    expect(network.questions).toEqual(2);
  });
});

describe("a link to an instance that takes no more work", () => {
  // Guards against a statement that has waited in a queue until its instance had left.
  it("is given back once it is acquired", async () => {
    let released = 0;
    const link = { release: () => released += 1 };
    for (const isDrained of [true, false]) {
      const task = {
        route: { group: "ledger", priority: "high", rank: 0 },
        deadline: 1e9,
        context: {
          pools: { acquire: () => okAsync(link) },
          succession: { leadership: () => ({ isDrained: () => isDrained }) },
        },
      };
      const acquired = await acquireLink(task as never, "i-1");
      expect(acquired.isErr()).toEqual(isDrained);
    }
    expect(released).toEqual(1);
  });
});
