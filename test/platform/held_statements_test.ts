/**
 * Statements that are held up on their way to an instance, or wait there, after
 * their callers were told that the outcome is unknown.
 *
 * @module
 */
import { createServer, type Server, type Socket } from "node:net";
import { after, describe, it } from "node:test";
import { expect } from "earl";
import { err, ok } from "neverthrow";
import { LineConnector } from "../../platform/line_connector.ts";
import { clock } from "../../src/kernel/clock.ts";
import type { PoolOwner } from "../../src/plugins/connections/pool_member.ts";
import { SessionState } from "../../src/plugins/sessions/session_context.ts";
import type {
  Answer,
  LinkLoss,
  UpstreamLink,
} from "../../src/plugins/upstream/link.ts";
import { sleep } from "../../src/utils/sleep.ts";
import { eventually } from "../support/eventually.ts";
import { itInVirtualTime } from "./fixtures/virtual_time.ts";
import { localInstance } from "./fixtures/local_instance.ts";

const ADDRESS = "127.0.0.1";
const DEADLINE_MS = 50;

/** Time after which an instance drops a caller that it can't reach, in ms. */
const UNREACHABLE_MS = 3_000;

const WRITE = { kind: "text", text: "WRITE a b" } as const;

const owner: PoolOwner<UpstreamLink> = {
  onReleased: () => {},
  onClosed: () => {},
};

/** An instance that accepts connections and answers no statement. */
class SilentInstance {
  readonly errors: string[] = [];
  readonly #sockets: Socket[] = [];
  #server: Server | undefined;

  async open(): Promise<UpstreamLink> {
    const server = createServer((socket) => {
      this.#sockets.push(socket);
      socket.on("error", (error) => this.errors.push(error.message));
      socket.once("data", () => socket.write("READY I 1.1\r\n"));
    });
    this.#server = server;
    await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
    const address = server.address();
    if (typeof address !== "object" || !address) throw new Error("no port");
    const opened = await new LineConnector("p1").open(
      localInstance(address.port),
      { timeout: 1_000 },
    );
    const link = opened._unsafeUnwrap()(owner);
    link.markInUse();
    return link;
  }

  /** Ends its side of the connections. */
  end(): void {
    for (const socket of this.#sockets) socket.end();
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server?.close();
  }
}

/** Runs a write that gets no answer. */
async function loseWrite(link: UpstreamLink): Promise<LinkLoss> {
  const deadline = clock.now() + DEADLINE_MS;
  const result = await link.run({ id: "q1", operation: WRITE }, deadline);
  return result._unsafeUnwrapErr();
}

// Guards against a statement that runs with an old value after a newer one was acknowledged.
describe("a statement that got no answer", () => {
  const instances: SilentInstance[] = [];
  after(() => instances.forEach((instance) => instance.close()));

  function createInstance(): SilentInstance {
    const instance = new SilentInstance();
    instances.push(instance);
    return instance;
  }

  it("is followed by a reset when its connection is given up, which drops what is held up on the way", async () => {
    const instance = createInstance();
    const link = await instance.open();
    await loseWrite(link);
    link.destroy();
    await eventually(() => instance.errors.length > 0);
    expect(instance.errors).toEqual(["read ECONNRESET"]);
  });

  it("may still run when its connection is given up, whether before or after its deadline", async () => {
    const early = await createInstance().open();
    const running = early.run(
      { id: "q1", operation: WRITE },
      clock.now() + 60_000,
    );
    early.destroy();
    const late = await createInstance().open();
    const lateLoss = await loseWrite(late);
    late.destroy();
    for (const { over } of [(await running)._unsafeUnwrapErr(), lateLoss]) {
      const mayRunUntil = await over;
      const left = mayRunUntil! - clock.now();
      expect(left > UNREACHABLE_MS).toEqual(true);
    }
  });

  it("can no longer run once the instance has closed the connection", async () => {
    const instance = createInstance();
    const link = await instance.open();
    const loss = await loseWrite(link);
    instance.end();
    expect(await loss.over! <= clock.now()).toEqual(true);
  });
});

describe("a change of a session's value", () => {
  const it = itInVirtualTime;
  const answer: Answer = { rows: [], state: "idle", sentAt: 0 };
  const lose = (over?: Promise<number>) =>
    Promise.resolve(err({ reason: "lost", silent: true, over }));
  const soon = () => clock.now() + DEADLINE_MS;

  it("is possible after an answer, and after a loss that ended the statement", async () => {
    const session = new SessionState();
    session.track(Promise.resolve(ok(answer)));
    session.track(lose());
    session.track(lose(Promise.resolve(clock.now())));
    expect(await session.waitForRunning(soon())).toEqual(true);
  });

  it("waits for a late answer up to the deadline", async () => {
    const session = new SessionState();
    session.track(lose(sleep(20).then(() => clock.now())));
    expect(await session.waitForRunning(soon())).toEqual(true);
    session.track(lose(new Promise(() => {})));
    expect(await session.waitForRunning(soon())).toEqual(false);
  });

  it("is refused at once while an earlier statement may run beyond the deadline", async () => {
    const session = new SessionState();
    session.track(lose(Promise.resolve(clock.now() + UNREACHABLE_MS)));
    const startedAt = clock.now();
    expect(await session.waitForRunning(startedAt + 1_000)).toEqual(false);
    expect(clock.now() - startedAt).toEqual(0);
  });

  it("is possible again once the time is over in which the statement may run", async () => {
    const session = new SessionState();
    session.track(lose(Promise.resolve(clock.now() + 30)));
    await sleep(1);
    expect(await session.waitForRunning(soon())).toEqual(true);
  });
});
