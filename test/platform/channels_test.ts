import { connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { createEventLog, EventLog } from "../../src/kernel/events.ts";
import type { EventKind } from "../../src/kernel/events.ts";
import type { ChannelPeer } from "../../src/plugins/channels/channels.ts";
import {
  decodeText,
  encodeFrame,
  encodeText,
  type Frame,
  FRAME_MAX_BYTES,
  FrameReader,
} from "../../src/plugins/channels/frames.ts";
import { HeldBytes } from "../../src/plugins/channels/held_bytes.ts";
import { LivenessCheck } from "../../src/plugins/channels/liveness_check.ts";
import { PeerClock } from "../../src/plugins/channels/peer_clock.ts";
import { TcpChannels } from "../../src/plugins/channels/tcp_channels.ts";
import { clock } from "../../src/kernel/clock.ts";
import { eventually } from "../support/eventually.ts";
import { freePort } from "./fixtures/free_port.ts";
import { itInVirtualTime } from "./fixtures/virtual_time.ts";

const MIB = 1024 * 1024;
const TIMEOUT_MS = 5_000;

/** Every byte, as the code points that the line protocol holds. */
const allBytes = Array.from(
  { length: 256 },
  (_, code) => String.fromCharCode(code),
).join("");

function read(bytes: Buffer, chunk: number, held = new HeldBytes()) {
  const frames: Frame[] = [];
  const skipped: string[] = [];
  const reader = new FrameReader({
    onFrame: (frame) => frames.push(frame),
    onSkipped: (head) => skipped.push(head),
  }, held);
  let isValid = true;
  for (let from = 0; from < bytes.length && isValid; from += chunk) {
    isValid = reader.push(bytes.subarray(from, from + chunk));
  }
  return { frames, skipped, isValid, reader };
}

describe("frames", () => {
  // Guards against texts that are changed on the way, or cut where a chunk ends.
  it("preserve texts of any bytes and names of any characters in any chunks", () => {
    fc.assert(fc.property(
      fc.string({ unit: "binary", maxLength: 300 }),
      fc.array(fc.integer({ min: 0, max: 255 }), { maxLength: 300 }),
      fc.integer({ min: 1, max: 50 }),
      (name, codes, chunk) => {
        const text = String.fromCharCode(...codes);
        const bytes = encodeFrame([1, name, encodeText(text)])!;
        const [frame] = read(bytes, chunk).frames;
        expect(frame?.[1]).toEqual(name);
        expect(decodeText(frame?.[2])).toEqual(text);
      },
    ));
  });

  it("hold a statement of 1 MiB and 4 MiB of values whatever their bytes", () => {
    for (const pattern of ["\0", '"', allBytes, "\0abcdefghijklmnop", "x"]) {
      const text = pattern.repeat(MIB / pattern.length);
      const texts = Array.from({ length: 5 }, () => encodeText(text));
      const bytes = encodeFrame([1, 1, "run", texts])!;
      expect(bytes.length <= FRAME_MAX_BYTES).toEqual(true);
      const [frame] = read(bytes, 65_536).frames;
      const decoded = (frame?.[3] as unknown[]).map(decodeText);
      expect(decoded.every((one) => one === text)).toEqual(true);
    }
  });

  it("are malformed if too long, empty or no JSON array", () => {
    for (
      const [length, text] of [
        [FRAME_MAX_BYTES + 1, ""],
        [0, ""],
        [2, "{}"],
        [4, "[1,}"],
      ] as const
    ) {
      const header = Buffer.alloc(4);
      header.writeUInt32BE(length);
      const bytes = Buffer.concat([header, Buffer.from(text)]);
      expect(read(bytes, 3).isValid).toEqual(false);
    }
  });

  // Guards against peers that fill the memory together with frames that are legal one by one.
  it("without room are skipped, and the next one is read", () => {
    const held = new HeldBytes();
    const long = encodeFrame([1, 77, "run", "x".repeat(6 * MIB)])!;
    const short = encodeFrame([5])!;
    expect(read(long, 9_999, held).frames.length).toEqual(1);
    expect(read(long, 9_999, held).frames.length).toEqual(1);
    const third = read(Buffer.concat([long, short]), 9_999, held);
    expect(third.skipped.map((head) => head.slice(0, 6))).toEqual(["[1,77,"]);
    expect(third.frames).toEqual([[5]]);
  });

  it("that end halfway are released", () => {
    const held = new HeldBytes();
    const { reader } = read(encodeFrame([1, "abc"])!.subarray(0, 9), 2, held);
    expect(held.held > 0).toEqual(true);
    reader.close();
    expect(held.held).toEqual(0);
  });
});

describe("the bound on a peer's clock", () => {
  // Guards against a deadline that a slow frame or clocks of different speed extend.
  it("is never later than the peer's clock and follows the best stamp", () => {
    const peer = new PeerClock();
    expect(peer.earliest(0)).toEqual(undefined);
    const speed = 1 + 400e-6;
    for (let local = 0; local < 100_000; local += 500) {
      const delay = local % 7_000;
      peer.record(1_000_000 + (local - delay) / speed, local);
      const bound = peer.earliest(local + 3_000)!;
      const shown = 1_000_000 + (local + 3_000) / speed;
      expect(bound <= shown).toEqual(true);
      expect(shown - bound < 10).toEqual(true);
    }
  });
});

describe("the check of a peer that owes answers", () => {
  function createCheck(unconfirmedBytes = 0) {
    const events: string[] = [];
    const state = { receivedAt: -Infinity, expecting: true };
    const check = new LivenessCheck({
      isExpecting: () => state.expecting,
      receivedAt: () => state.receivedAt,
      unconfirmedBytes: () => unconfirmedBytes,
      ping: () => events.push(`ping ${Math.round(clock.now())}`),
      onDead: () => events.push(`dead ${Math.round(clock.now())}`),
    });
    check.start();
    return { check, state, events };
  }
  const sleep = (ms: number) =>
    new Promise((resolve) => setTimeout(resolve, ms));

  itInVirtualTime("pings after 250 ms and gives up 300 ms later", async () => {
    const { events } = createCheck();
    await sleep(1_000);
    expect(events).toEqual(["ping 250", "dead 550"]);
  });

  itInVirtualTime("goes on while the peer sends anything", async () => {
    const { state, events } = createCheck();
    for (let turn = 0; turn < 20; turn += 1) {
      await sleep(200);
      state.receivedAt = clock.now();
    }
    expect(events).toEqual([]);
    state.expecting = false;
    await sleep(1_000);
    expect(events).toEqual([]);
  });

  // Guards against taking a peer for dead while it receives a long statement over a slow link.
  itInVirtualTime("leaves time for what the peer still receives", async () => {
    const { events } = createCheck(MIB);
    await sleep(5_000);
    expect(events).toEqual(["ping 250", `dead ${550 + Math.round(MIB / 400)}`]);
  });
});

describe("channels over TCP", () => {
  let written: { readonly number: number; readonly fields: unknown }[];
  let log: EventLog;
  let a: TcpChannels;
  let b: TcpChannels;
  let others: (Server | Socket)[];

  const create = async (proxy: string, port?: number) => {
    const endpoint = { host: "127.0.0.1", port: port ?? await freePort() };
    const channels = new TcpChannels({ proxy, endpoint, log });
    await channels.start();
    return channels;
  };
  const linesOf = (name: string) =>
    written.filter(({ fields }) => JSON.stringify(fields).includes(name));

  beforeEach(async () => {
    written = [];
    others = [];
    log = createEventLog("silent", {});
    log.write = (kind: EventKind, fields) =>
      written.push({ number: kind.number, fields });
    a = await create("a");
    b = await create("b");
    b.serve("echo", (body, peer) => [peer.proxy, body]);
    b.serve("fail", () => {
      throw new Error("on purpose");
    });
    b.serve("never", () => new Promise(() => {}));
  });
  afterEach(() => {
    for (const one of others) {
      if ("close" in one) one.close();
      else one.destroy();
    }
    a.stop();
    b.stop();
  });

  /** A server that accepts and then does with each connection as told. */
  async function serveRaw(onSocket: (socket: Socket) => void) {
    const port = await freePort();
    const server = createServer((socket) => {
      others.push(socket);
      socket.on("error", () => {});
      onSocket(socket);
    });
    others.push(server);
    await new Promise<void>((resolve) =>
      server.listen(port, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${port}`;
  }
  const hello = encodeFrame([0, 5, 1, "raw"])!;

  it("answer calls under the caller's name, with the clock of the answering process", async () => {
    const before = clock.now();
    const replies = await Promise.all(
      [allBytes, "x".repeat(5 * MIB), { deep: [null, "ž"] }].map((body) =>
        a.call(b.endpoint, "echo", body, TIMEOUT_MS)
      ),
    );
    expect(replies.map((reply) => reply._unsafeUnwrap().body)).toEqual([
      ["a", allBytes],
      ["a", "x".repeat(5 * MIB)],
      ["a", { deep: [null, "ž"] }],
    ]);
    const { stamp, sentAt, receivedAt } = replies[0]!._unsafeUnwrap();
    expect(stamp >= Math.floor(before) && stamp <= clock.now()).toEqual(true);
    expect(before <= sentAt && sentAt <= receivedAt).toEqual(true);
    const bound = a.earliestPeerTime(b.endpoint, clock.now())!;
    expect(bound <= clock.now() && bound > before - 1).toEqual(true);
  });

  it("tell failures that may have begun from those that did not", async () => {
    const outcomes = await Promise.all(
      ["fail", "unknown"].map((kind) =>
        a.call(b.endpoint, kind, 1, TIMEOUT_MS)
      ),
    );
    expect(outcomes.map((one) => one._unsafeUnwrapErr())).toEqual([
      { reason: "the handler failed", mayBeReceived: true },
      { reason: "no handler of unknown", mayBeReceived: false },
    ]);
    expect(linesOf("on purpose").length).toEqual(1);
  });

  it("pass messages in both directions and tell the end of a connection", async () => {
    const received: unknown[] = [];
    let peer: ChannelPeer | undefined;
    b.serve("note", (body, sender) => {
      peer = sender;
      received.push(body);
      sender.onEnd(() => received.push("end"));
      sender.send("back", "to you");
    });
    a.serve("back", (body, sender) => received.push([body, sender.proxy]));
    expect(a.send(b.endpoint, "note", "hi")).toEqual(true);
    await eventually(() => received.length === 2);
    a.stop();
    await eventually(() => received.length === 3);
    expect(received).toEqual(["hi", ["to you", "b"], "end"]);
    expect(peer!.send("back", 1)).toEqual(false);
  });

  // Guards against a malformed frame that ends more than its own connection.
  it("close a connection with a malformed frame and write one line", async () => {
    await a.call(b.endpoint, "echo", 1, TIMEOUT_MS);
    const [host, port] = b.endpoint.split(":");
    const ends = await Promise.all(Array.from({ length: 5 }, () => {
      const socket = connect({ host: host!, port: Number(port) });
      socket.on("error", () => {});
      socket.write(encodeFrame([0, 1, "odd"])!);
      socket.end(Buffer.from([0, 0, 0, 1, 65]));
      socket.resume();
      return new Promise((resolve) => socket.on("close", resolve));
    }));
    expect(ends.length).toEqual(5);
    expect(written.filter(({ number }) => number === 331).length).toEqual(1);
    const after = await a.call(b.endpoint, "echo", 2, TIMEOUT_MS);
    expect(after._unsafeUnwrap().body).toEqual(["a", 2]);
  });

  it("fail calls to a peer that is away as not received, and reach it once it is there", async () => {
    const port = await freePort();
    const endpoint = `127.0.0.1:${port}`;
    for (let turn = 0; turn < 3; turn += 1) {
      const outcome = await a.call(endpoint, "echo", 1, TIMEOUT_MS);
      expect(outcome._unsafeUnwrapErr().mayBeReceived).toEqual(false);
    }
    const late = await create("late", port);
    late.serve("echo", (body) => body);
    await eventually(async () =>
      (await a.call(endpoint, "echo", 1, TIMEOUT_MS)).isOk()
    );
    late.stop();
  });

  // Guards against sending a statement again that a frozen peer may have taken.
  it("lose the calls to a peer that falls silent, and send it nothing that is not lost", async () => {
    let count = 0;
    const endpoint = await serveRaw((socket) => {
      count += 1;
      if (count === 1) socket.write(hello);
      socket.resume();
    });
    const first = await a.call(endpoint, "run", 1, TIMEOUT_MS);
    expect(first._unsafeUnwrapErr().mayBeReceived).toEqual(true);
    await new Promise((resolve) => setTimeout(resolve, 100));
    const second = await a.call(endpoint, "run", 1, TIMEOUT_MS);
    expect(second._unsafeUnwrapErr().mayBeReceived).toEqual(false);
    expect(a.earliestPeerTime(endpoint, 0)).toEqual(undefined);
  });

  it("bound what waits for a slow peer, and fail what is too much as not received", async () => {
    const endpoint = await serveRaw((socket) => {
      socket.write(hello);
      socket.pause();
    });
    await a.connect(endpoint, TIMEOUT_MS);
    const calls = Array.from(
      { length: 8 },
      () => a.call(endpoint, "run", "x".repeat(3 * MIB), 300),
    );
    const outcomes = await Promise.all(calls);
    const failures = outcomes.map((one) => one._unsafeUnwrapErr());
    expect(failures.filter(({ reason }) => reason === "backlogged").length > 3)
      .toEqual(true);
    for (const { reason, mayBeReceived } of failures) {
      expect(mayBeReceived).toEqual(reason !== "backlogged");
    }
  });

  it("refuse calls as not received while the calls that wait fill the room", async () => {
    const body = "x".repeat(6 * MIB);
    void a.call(b.endpoint, "never", body, TIMEOUT_MS);
    await a.call(b.endpoint, "echo", 1, TIMEOUT_MS);
    const c = await create("c");
    void c.call(b.endpoint, "never", body, TIMEOUT_MS);
    await c.call(b.endpoint, "echo", 1, TIMEOUT_MS);
    const third = await c.call(b.endpoint, "echo", body, TIMEOUT_MS);
    expect(third._unsafeUnwrapErr()).toEqual({
      reason: "no room for the call",
      mayBeReceived: false,
    });
    // The room is free again once the connections that fill it have ended.
    a.stop();
    c.stop();
  });

  it("end the former connection of a proxy that connects again", async () => {
    const ended: string[] = [];
    b.serve("stay", (_, peer) => {
      peer.onEnd(() => ended.push(peer.proxy));
    });
    await a.call(b.endpoint, "stay", 1, TIMEOUT_MS);
    const again = await create("a");
    await again.call(b.endpoint, "echo", 1, TIMEOUT_MS);
    await eventually(() => ended.length === 1);
    again.stop();
  });
});
