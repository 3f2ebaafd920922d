/**
 * Statements that set a connection up and are rejected by the instance.
 *
 * @module
 */
import { type AddressInfo, createServer, type Server } from "node:net";
import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { LineConnector } from "../../platform/line_connector.ts";
import { clock } from "../../src/kernel/clock.ts";
import type { DirectLink } from "../../src/plugins/upstream/link.ts";
import { sleep } from "../../src/utils/sleep.ts";
import { readCrlfLines } from "../../standins/common/crlf_lines.ts";
import { localInstance } from "./fixtures/local_instance.ts";

const ADDRESS = "127.0.0.1";
const ANSWER_DELAY_MS = 60;
const SHORT_MS = 20;
const LONG_MS = 5_000;
const STATEMENT = { effect: "read", shape: "q5" } as const;

// Guards against a connection that keeps a name or value which the instance never took.
describe("a connection whose instance rejects", () => {
  const servers: Server[] = [];
  const links: DirectLink[] = [];
  afterEach(() => {
    for (const link of links.splice(0)) link.destroy();
    for (const server of servers.splice(0)) server.close();
  });

  /** Opens a connection to an instance that answers everything with an error after a delay. */
  async function open(
    error: string,
  ): Promise<{ readonly link: DirectLink; released: number }> {
    const server = createServer((socket) => {
      socket.on("error", () => {});
      readCrlfLines(socket, (line) => {
        if (line.startsWith("STARTUP")) {
          return void socket.write("READY I 1.1\r\n");
        }
        const answer = `ERROR ${error} no\r\nREADY I 1.1\r\n`;
        setTimeout(() => socket.write(answer), ANSWER_DELAY_MS);
      });
    });
    servers.push(server);
    await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
    const { port } = server.address() as AddressInfo;
    const opened = await new LineConnector("p1").open(localInstance(port));
    const counts = { released: 0 };
    const link = opened._unsafeUnwrap()({
      onReleased: () => {
        counts.released += 1;
      },
      onClosed: () => {},
    });
    links.push(link);
    link.markInUse();
    return Object.assign(counts, { link });
  }

  const changes: Readonly<
    Record<string, (link: DirectLink, deadline: number) => unknown>
  > = {
    "a PREPARE": (link, deadline) => link.prepare(STATEMENT, deadline),
    "a SET": (link, deadline) => link.setValue("v", "1", deadline),
    "a DISCARD": (link, deadline) => link.reset(deadline),
  };

  for (const [what, change] of Object.entries(changes)) {
    for (
      const [when, timeout] of [["in time", LONG_MS], [
        "late",
        SHORT_MS,
      ]] as const
    ) {
      it(`${what} ${when} is not used again`, async () => {
        const opened = await open("FAILED");
        await change(opened.link, clock.now() + timeout);
        await sleep(2 * ANSWER_DELAY_MS);
        opened.link.release();
        expect([opened.released, opened.link.isUsable]).toEqual([0, false]);
      });
    }
  }

  it("a statement as unknown is not used again", async () => {
    const opened = await open("NOSTMT");
    const { link } = opened;
    const result = await link.run(
      { id: "q1", operation: { kind: "text", text: "READ a" } },
      clock.now() + LONG_MS,
    );
    expect(result._unsafeUnwrap().fault).toEqual("unknown-statement");
    link.release();
    expect([opened.released, link.isUsable]).toEqual([0, false]);
  });
});
