import { afterEach, describe, it } from "node:test";
import { spawnSync } from "node:child_process";
import { expect } from "earl";
import { clock } from "../../src/kernel/clock.ts";
import { eventually } from "../support/eventually.ts";
import { Deployment } from "./fixtures/deployment.ts";
import type { LineCaller } from "./fixtures/line_caller.ts";

/** The letter's bound on a change of primary, in ms. */
const CHANGE_BOUND_MS = 5_000;

const PRIMARY = "i-ledger-0";
const sleep = (duration: number) =>
  new Promise((resolve) => setTimeout(resolve, duration));

/** Writes until one is acknowledged; gives the time that took, in ms. */
async function writeUntilDone(
  open: () => Promise<LineCaller>,
  item: string,
): Promise<number> {
  const begun = clock.now();
  await eventually(async () => {
    const caller = await open();
    const answer = await caller.run(`WRITE ${item} x`)
      .catch(() => ({ error: "closed" }));
    caller.close();
    return answer.error === undefined;
  });
  return clock.now() - begun;
}

describe("faults on the platform", () => {
  let deployment: Deployment;
  afterEach(() => deployment.stop());

  /** Ids of the writes that the present primary's log holds. */
  async function committedItems(): Promise<readonly string[]> {
    const members = await deployment.members();
    const leading = members.filter(({ role }) => role === "primary")
      .sort((a, b) => b.term - a.term)[0]!;
    return leading.log.flatMap(({ writes }) => writes.map(({ item }) => item));
  }

  describe("a primary", () => {
    for (const fault of ["kill", "darken"]) {
      it(`that is gone (${fault}) is replaced, and what the replicas had is kept`, async () => {
        deployment = await Deployment.start();
        const caller = await deployment.open(0, "booking");
        for (let turn = 0; turn < 5; turn += 1) {
          await caller.run(`WRITE before${turn} x`);
        }
        caller.close();
        await eventually(
          async () =>
            (await deployment.members()).every(({ log }) =>
              log.some(({ writes }) =>
                writes.some(({ item }) => item === "before4")
              )
            ),
          "the replicas have the writes",
        );
        await deployment.order(fault, PRIMARY);
        const gap = await writeUntilDone(
          () => deployment.open(1, "booking"),
          "after",
        );
        expect(gap < CHANGE_BOUND_MS).toEqual(true);
        const items = await committedItems();
        expect(items).toEqual([
          "before0",
          "before1",
          "before2",
          "before3",
          "before4",
          "after",
        ]);
        const tokens = (await deployment.promotions()).map(({ token }) =>
          token
        );
        expect(tokens).toEqual([...tokens].sort((a, b) => a - b));
        await deployment.order("revive", PRIMARY);
        await eventually(async () =>
          (await deployment.members())[0]!.role === "replica"
        );
        const reader = await deployment.open(0, "booking");
        expect((await reader.run("READ after")).rows).toEqual(["x"]);
        reader.close();
      });
    }

    // Guards against a group that nobody serves again, since its primary was lost while nobody used it (review/8).
    for (const restarts of [false, true]) {
      it(`that is gone while its group is quiet is replaced${restarts ? ", also by hosts that have never seen it" : ""}`, async () => {
        deployment = await Deployment.start();
        await deployment.order("kill", PRIMARY);
        await deployment.remove("servers", PRIMARY);
        if (restarts) {
          await Promise.all(deployment.hosts.map((host) => host.kill()));
          await Promise.all(deployment.hosts.map((host) => host.start()));
        }
        await sleep(8_000);
        await writeUntilDone(() => deployment.open(1, "booking"), "after");
        expect(await committedItems()).toEqual(["after"]);
      });
    }

    // Guards against a statement that runs with an old value after a newer one was acknowledged.
    it("that is silent makes a session with an unanswered write refuse a new value", async () => {
      deployment = await Deployment.start();
      const caller = await deployment.open(0, "booking");
      await caller.run("SET tenant t1");
      await caller.run("WRITE held x");
      await deployment.order("darken", PRIMARY);
      expect((await caller.run("WRITE held y")).error).toEqual("UNKNOWN");
      const changed = await caller.run("SET tenant t2");
      expect([changed.error, changed.state]).toEqual(["BUSY", "I"]);
      const other = await deployment.open(0, "booking");
      expect((await other.run("SET tenant t2")).error).toEqual(undefined);
      other.close();
      caller.close();
    });

    // Guards against a statement that runs with a former shape after its name was given to another one.
    it("that is silent makes a session with an unanswered statement refuse another meaning of its name", async () => {
      deployment = await Deployment.start();
      const caller = await deployment.open(0, "booking");
      await caller.run("PREPARE s1 WRITE q1");
      expect((await caller.run("EXECUTE s1 held x")).error).toEqual(undefined);
      await deployment.order("darken", PRIMARY);
      expect((await caller.run("EXECUTE s1 held y")).error).toEqual("UNKNOWN");
      expect((await caller.run("PREPARE s1 WRITE q2")).error).toEqual("BUSY");
      expect((await caller.run("DEALLOCATE s1")).error).toEqual("BUSY");
      expect((await caller.run("PREPARE s1 WRITE q1")).error)
        .toEqual(undefined);
      expect((await caller.run("PREPARE s2 WRITE q2")).error)
        .toEqual(undefined);
      caller.close();
    });

    it("that leaves hands over with nothing refused and nothing lost", async () => {
      deployment = await Deployment.start();
      const callers = await Promise.all(
        [0, 0, 1, 1].map((host) => deployment.open(host, "booking")),
      );
      const errors: (string | undefined)[] = [];
      const written: string[] = [];
      let over = false;
      const load = callers.map(async (caller, index) => {
        for (let turn = 0; !over; turn += 1) {
          const item = `w${index}-${turn}`;
          const answer = await caller.run(`WRITE ${item} x`);
          if (answer.error) errors.push(answer.error);
          else written.push(item);
          await sleep(10);
        }
      });
      await sleep(300);
      await deployment.order("leave", PRIMARY);
      await eventually(async () =>
        (await deployment.members())[0]!.role === "replica"
      );
      await sleep(500);
      over = true;
      await Promise.all(load);
      for (const caller of callers) caller.close();
      expect(errors).toEqual([]);
      const items = new Set(await committedItems());
      expect(written.filter((item) => !items.has(item))).toEqual([]);
    });
  });

  describe("the store", () => {
    it("that answers nobody for longer than a lease stops no write and no read", async () => {
      deployment = await Deployment.start();
      await deployment.doors("silent", "silent");
      const begun = clock.now();
      const caller = await deployment.open(0, "booking");
      const reader = await deployment.open(1, "returns");
      const errors: (string | undefined)[] = [];
      for (let turn = 0; clock.now() - begun < 6_000; turn += 1) {
        errors.push((await caller.run(`WRITE out${turn} x`)).error);
        errors.push((await reader.run(`READ out${turn}`)).error);
        await sleep(50);
      }
      caller.close();
      reader.close();
      expect(errors.filter((error) => error !== undefined)).toEqual([]);
      const rounds = deployment.hosts[0]!.log.filter(({ event }) =>
        event === 518
      );
      expect(rounds.length > 0).toEqual(true);
    });

    it("that turns one host away while the primary is replaced makes that host acknowledge nothing of the old one", async () => {
      deployment = await Deployment.start();
      await deployment.doors("up", "silent");
      const cut = await deployment.open(1, "booking");
      const acknowledged: string[] = [];
      const stale: string[] = [];
      let replaced = false;
      let over = false;
      const load = (async () => {
        for (let turn = 0; !over; turn += 1) {
          const late = replaced;
          const answer = await cut.run(`WRITE cut${turn} x`);
          if (!answer.error) acknowledged.push(`cut${turn}`);
          const read = await cut.run("READ marker");
          if (late && !read.error && read.rows[0] !== "new") {
            stale.push(read.rows[0]!);
          }
        }
      })();
      await deployment.order("leave", PRIMARY);
      await eventually(async () =>
        (await deployment.members()).some(({ role, id }) =>
          role === "primary" && id !== PRIMARY
        )
      );
      await writeUntilDone(async () => {
        return await deployment.open(0, "booking");
      }, "moved");
      const writer = await deployment.open(0, "booking");
      expect((await writer.run("WRITE marker new")).error).toEqual(undefined);
      replaced = true;
      await sleep(1_500);
      await deployment.doors("up", "up");
      await sleep(1_500);
      over = true;
      await load;
      writer.close();
      cut.close();
      expect(stale).toEqual([]);
      const items = new Set(await committedItems());
      expect(acknowledged.filter((item) => !items.has(item))).toEqual([]);
    });

    it("whose replies are lost while the primary is replaced does not stop the change", async () => {
      deployment = await Deployment.start();
      await deployment.doors("lost", "lost");
      await deployment.order("kill", PRIMARY);
      const gap = await writeUntilDone(
        () => deployment.open(0, "booking"),
        "after",
      );
      await deployment.doors("up", "up");
      expect(gap < 2 * CHANGE_BOUND_MS).toEqual(true);
      const tokens = (await deployment.promotions()).map(({ token }) => token);
      expect(tokens).toEqual([...tokens].sort((a, b) => a - b));
    });
  });

  describe("a host", () => {
    it("that is stopped lets transactions end, closes idle sessions and ends with code 0", async () => {
      deployment = await Deployment.start();
      const [host] = deployment.hosts;
      const idle = await deployment.open(0, "booking");
      const working = await deployment.open(0, "booking");
      await working.run("BEGIN");
      await working.run("WRITE stopped x");
      const begun = clock.now();
      host!.signal("SIGTERM");
      await sleep(300);
      expect(await host!.ready()).toEqual(503);
      expect((await working.run("WRITE stopped y")).error).toEqual(undefined);
      expect((await working.run("COMMIT")).error).toEqual(undefined);
      expect(await host!.ended()).toEqual(0);
      expect(clock.now() - begun < 6_000).toEqual(true);
      await eventually(() => idle.closed && working.closed);
      const reader = await deployment.open(1, "booking");
      expect((await reader.run("READ stopped")).rows).toEqual(["y"]);
      reader.close();
    });

    it("that is stopped closes no session whose caller is in the middle of an operation", async () => {
      deployment = await Deployment.start();
      const [host] = deployment.hosts;
      const callers = await Promise.all(
        [1, 2, 3, 4].map(() => deployment.open(0, "booking")),
      );
      host!.signal("SIGTERM");
      const begun = clock.now();
      await Promise.all(callers.map(async (caller, index) => {
        for (let turn = 0; clock.now() - begun < 2_000; turn += 1) {
          await caller.run(`SET turn ${turn}`);
          await caller.run(`PREPARE s${index} WRITE shape`);
          const answer = await caller.run(`EXECUTE s${index} during x`);
          expect(answer.error).toEqual(undefined);
          await sleep(20);
        }
      }));
      expect(await host!.ended()).toEqual(0);
      await eventually(() => callers.every(({ closed }) => closed));
    });

    it("that was frozen while the primary was replaced serves nothing of the old one", async () => {
      deployment = await Deployment.start();
      const frozen = await deployment.open(1, "booking");
      expect((await frozen.run("READ marker")).rows).toEqual(["-"]);
      deployment.hosts[1]!.signal("SIGSTOP");
      await deployment.order("leave", PRIMARY);
      await eventually(async () =>
        (await deployment.members()).some(({ role, id }) =>
          role === "primary" && id !== PRIMARY
        )
      );
      await writeUntilDone(() => deployment.open(0, "booking"), "marker");
      frozen.send("QUERY thawed READ marker\r\n");
      deployment.hosts[1]!.signal("SIGCONT");
      const first = await frozen.line();
      const fresh = first === "DATAROW x" || first!.startsWith("ERROR");
      expect(fresh).toEqual(true);
      frozen.close();
    });

    it("that is killed and starts again serves at once", async () => {
      deployment = await Deployment.start();
      const caller = await deployment.open(0, "booking");
      await caller.run("WRITE killed x");
      await deployment.hosts[0]!.kill();
      await deployment.hosts[0]!.start();
      await eventually(async () => await deployment.hosts[0]!.ready() === 200);
      const again = await deployment.open(0, "booking");
      expect((await again.run("READ killed")).rows).toEqual(["x"]);
      expect((await again.run("WRITE killed y")).error).toEqual(undefined);
      again.close();
    });

    it("with a wrong settings file names the field and ends with code 2", async () => {
      deployment = await Deployment.start({ hosts: 1 });
      const run = spawnSync(process.execPath, ["dist/platform/main.js"], {
        env: { ...process.env, MARJORAMSHED_SETTINGS: "/nonexistent.yaml" },
        encoding: "utf8",
      });
      expect(run.status).toEqual(2);
      expect(run.stderr.includes("/nonexistent.yaml")).toEqual(true);
    });
  });
});
