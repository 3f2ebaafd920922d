import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import { Deployment } from "./fixtures/deployment.ts";
import { LineCaller } from "./fixtures/line_caller.ts";
import { eventually } from "../support/eventually.ts";

describe("sessions on the platform", () => {
  let deployment: Deployment;
  before(async () => {
    deployment = await Deployment.start({ lag: 60 });
  });
  after(() => deployment.stop());

  it("read their own writes immediately on every kind of route", async () => {
    for (const database of ["booking", "returns"]) {
      const caller = await deployment.open(0, database);
      for (let round = 0; round < 10; round += 1) {
        const written = await caller.run(`WRITE ${database} v${round}`);
        expect([written.error, written.state]).toEqual([undefined, "I"]);
        const read = await caller.run(`READ ${database}`);
        expect(read.rows).toEqual([`v${round}`]);
      }
      caller.close();
    }
  });

  it("read on a primary route what another host has just acknowledged", async () => {
    const writer = await deployment.open(0, "booking");
    const reader = await deployment.open(1, "booking");
    for (let round = 0; round < 10; round += 1) {
      await writer.run(`WRITE shared s${round}`);
      expect((await reader.run("READ shared")).rows).toEqual([`s${round}`]);
    }
    writer.close();
    reader.close();
  });

  it("read on a bounded route what was acknowledged before its staleness bound", async () => {
    const writer = await deployment.open(0, "booking");
    const reader = await deployment.open(1, "stock");
    await writer.run("WRITE aged old");
    await new Promise((resolve) => setTimeout(resolve, 1_550));
    expect((await reader.run("READ aged")).rows).toEqual(["old"]);
    writer.close();
    reader.close();
  });

  describe("transactions", () => {
    it("hide their writes from other sessions until they commit", async () => {
      const one = await deployment.open(0, "booking");
      const other = await deployment.open(1, "booking");
      expect((await one.run("BEGIN")).state).toEqual("T");
      await one.run("WRITE kept mine");
      expect((await one.run("READ kept")).rows).toEqual(["mine"]);
      expect((await other.run("READ kept")).rows).toEqual(["-"]);
      const committed = await one.run("COMMIT");
      expect([committed.error, committed.state]).toEqual([undefined, "I"]);
      expect((await other.run("READ kept")).rows).toEqual(["mine"]);
      one.close();
      other.close();
    });

    it("have no effect when they roll back or their caller disconnects", async () => {
      const caller = await deployment.open(0, "booking");
      await caller.run("BEGIN");
      await caller.run("WRITE undone x");
      expect((await caller.run("ROLLBACK")).state).toEqual("I");
      const disconnecting = await deployment.open(0, "booking");
      await disconnecting.run("BEGIN");
      await disconnecting.run("WRITE undone y");
      disconnecting.close();
      expect((await caller.run("READ undone")).rows).toEqual(["-"]);
      caller.close();
    });

    it("are rolled back after the idle timeout and report it on commit", async () => {
      const caller = await deployment.open(0, "booking");
      await caller.run("BEGIN");
      await caller.run("WRITE rested x");
      await new Promise((resolve) => setTimeout(resolve, 1_300));
      const refused = await caller.run("READ rested");
      expect([refused.error, refused.state]).toEqual(["MALFORMED", "E"]);
      const committed = await caller.run("COMMIT");
      expect([committed.error, committed.state]).toEqual(["ABORTED", "I"]);
      expect((await caller.run("READ rested")).rows).toEqual(["-"]);
      caller.close();
    });
  });

  it("isolate values and prepared statements on shared connections", async () => {
    const callers = await Promise.all(
      [0, 0, 0, 0, 0, 0, 1, 1].map((host) => deployment.open(host, "booking")),
    );
    await Promise.all(callers.map(async (caller, index) => {
      for (let round = 0; round < 12; round += 1) {
        const value = `${index}-${round}`;
        if (index % 2 === 0) await caller.run(`SET who ${value}`);
        const shape = `shape${index}`;
        await caller.run(`PREPARE s1 ${index < 4 ? "READ" : "WRITE"} ${shape}`);
        const executed = await caller.run(
          index < 4 ? "EXECUTE s1 apart" : `EXECUTE s1 apart ${value}`,
        );
        expect(executed.error).toEqual(undefined);
        const row = (await caller.run("READ nothing")).rows[0];
        const expected = index % 2 === 0 ? `- who=${value}` : "-";
        expect(row).toEqual(expected);
      }
      caller.close();
    }));
  });

  // Guards against a part of a caller's text that runs as a statement of its own.
  describe("a text with a line feed", () => {
    const text = "front\nQUERY x9 WRITE wheel-9 sold\rend";

    it("reaches the instance and comes back as it is", async () => {
      const caller = await deployment.open(0, "booking");
      await caller.run(`SET note ${text}`);
      await caller.run("PREPARE s1 WRITE two\nlines");
      await caller.run(`WRITE noted ${text}`);
      await caller.run(`EXECUTE s1 executed ${text}`);
      for (const item of ["noted", "executed"]) {
        const { rows } = await caller.run(`READ ${item}`);
        expect(rows).toEqual([`${text} note=${text}`]);
      }
      caller.close();
    });

    it("runs no other statement", async () => {
      const caller = await deployment.open(0, "booking");
      await caller.run(`WRITE noted ${text}`);
      await caller.run("BEGIN");
      await caller.run(`WRITE noted ${text}`);
      await caller.run("COMMIT");
      expect((await caller.run("READ wheel-9")).rows).toEqual(["-"]);
      const logs = (await deployment.members()).flatMap(({ log }) => log);
      const ids = logs.flatMap(({ writes }) => writes.map(({ id }) => id));
      expect(ids.includes("x9")).toEqual(false);
      caller.close();
    });
  });

  describe("invalid input", () => {
    it("is refused with a specific error and affects only its own connection", async () => {
      const good = await deployment.open(0, "booking");
      const bad = await deployment.open(0, "booking");
      for (const text of ["DROP all", "AFTER 9.9 READ x", "STATUS", "COMMIT"]) {
        expect((await bad.run(text)).error).toEqual("MALFORMED");
      }
      expect((await bad.run("EXECUTE none x")).error).toEqual("NOSTMT");
      bad.send("nonsense\r\n");
      expect((await bad.line())?.startsWith("ERROR MALFORMED")).toEqual(true);
      expect((await good.run("READ x")).error).toEqual(undefined);
      good.close();
      bad.close();
    });

    it("closes the connection with TOOLARGE when it is too long", async () => {
      const caller = await deployment.open(0, "booking");
      caller.send(Buffer.alloc(1_100_000, 0x61));
      expect((await caller.line())?.startsWith("ERROR TOOLARGE")).toEqual(true);
      await eventually(() => caller.closed);
    });

    it("closes the connection with NODB when the database has no route", async () => {
      const caller = await LineCaller.connect(deployment.hosts[0]!.port);
      caller.send("STARTUP nowhere u1\r\n");
      expect((await caller.line())?.startsWith("ERROR NODB")).toEqual(true);
      await eventually(() => caller.closed);
    });

    it("closes the connection when the startup line stays incomplete", async () => {
      const caller = await LineCaller.connect(deployment.hosts[0]!.port);
      caller.send("STARTUP boo");
      await eventually(() => caller.closed);
    });
  });

  it("follow the configuration: new routes are served, removed ones refused, older versions ignored", async () => {
    const caller = await deployment.open(0, "stock");
    await deployment.configure(["booking", "returns", "fresh"], 100);
    await eventually(async () => {
      try {
        (await deployment.open(0, "fresh")).close();
        return true;
      } catch {
        return false;
      }
    });
    expect((await caller.run("READ x")).error).toEqual("NODB");
    await deployment.configure(["stock"], 50);
    await new Promise((resolve) => setTimeout(resolve, 300));
    (await deployment.open(0, "fresh")).close();
    await deployment.put("op", "config", "not a configuration");
    await deployment.forget();
    await deployment.configure(["booking", "stock", "returns"], 101);
    await eventually(async () => {
      return (await caller.run("READ x")).error === undefined;
    });
    caller.close();
  });

  it("appear in the log and on the metrics page", async () => {
    const host = deployment.hosts[0]!;
    const refused = host.log.find((line) => line.event === 406);
    expect(typeof refused?.["request"]).toEqual("string");
    const page = await fetch(`http://127.0.0.1:${host.metricsPort}/metrics`);
    const text = await page.text();
    for (
      const name of [
        'marjoramshed_requests_total{effect="read"}',
        'marjoramshed_request_milliseconds{effect="write",quantile="0.99"}',
        'marjoramshed_refusals_total{code="protocol-malformed"}',
        'marjoramshed_connections_open{group="ledger"',
      ]
    ) expect(text.includes(name)).toEqual(true);
  });
});
