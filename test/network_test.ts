/**
 * The network's stand-in as a process, between sockets of this test.
 *
 * @module
 */
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { after, before, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import type { Fault } from "../standins/network/faults.ts";
import {
  type DaemonProcess,
  startDaemon,
} from "../standins/stack/daemon_process.ts";
import { eventually } from "./support/eventually.ts";

const SOURCE_IP = "127.0.9.1";
const between: Pick<Fault & { kind: "cut" }, "from" | "to"> = {
  from: { zone: "zagreb-a" },
  to: { host: "target" },
};

describe("network", () => {
  let network: DaemonProcess;
  let target: Server;
  let linkPort: number;
  let received = "";
  const peers: string[] = [];
  const sockets = new Set<Socket>();
  const accepted = new Set<Socket>();

  const faultsUrl = () =>
    `http://${network.ready.host}:${network.ready.port}/faults`;

  async function setFaults(faults: readonly Fault[]): Promise<void> {
    const body = JSON.stringify({ faults });
    const answer = await fetch(faultsUrl(), { method: "PUT", body });
    expect(answer.status).toEqual(200);
  }

  /** Number of connections that the network has accepted so far. */
  async function countAccepted(): Promise<number> {
    const { traffic } = await (await fetch(faultsUrl())).json() as {
      traffic: Readonly<Record<string, { readonly connections: number }>>;
    };
    return traffic["source > target"]!.connections;
  }

  function open(): { socket: Socket; text: () => string; ended: () => string } {
    const socket = connect({
      host: "127.0.0.1",
      port: linkPort,
      localAddress: SOURCE_IP,
    });
    sockets.add(socket);
    let text = "";
    let ended = "";
    socket.on("data", (data) => text += data);
    socket.on("error", (error: NodeJS.ErrnoException) => ended = error.code!);
    socket.on("close", () => ended ||= "closed");
    return { socket, text: () => text, ended: () => ended };
  }

  /** A round trip on a fresh connection, which is later than all that came before. */
  async function roundTrip(): Promise<void> {
    const fresh = open();
    fresh.socket.write("!");
    await eventually(() => fresh.text() === "!");
    fresh.socket.destroy();
  }

  before(async () => {
    target = createServer((socket) => {
      sockets.add(socket);
      accepted.add(socket);
      peers.push(socket.remoteAddress!);
      socket.on("error", () => undefined);
      socket.on("data", (data) => {
        received += data;
        socket.write(data);
      });
    }).listen(0, "127.0.0.1");
    await once(target, "listening");
    const targetPort = (target.address() as { port: number }).port;
    const link = {
      id: "target",
      name: "target",
      zone: "split-a",
      listenHost: "127.0.0.1",
      listenPort: 0,
      targetHost: "127.0.0.1",
      targetPort,
    };
    const source = { ip: "127.0.9.", name: "source", zone: "zagreb-a" };
    const topology = JSON.stringify({ links: [link], sources: [source] });
    network = await startDaemon("network", "standins/network/main.js", [
      "--topology",
      topology,
    ]);
    const [open] = network.ready["links"] as { listenPort: number }[];
    linkPort = open!.listenPort;
  });
  beforeEach(async () => {
    await setFaults([]);
    received = "";
  });
  after(async () => {
    for (const socket of sockets) socket.destroy();
    target.close();
    await network.stop();
  });

  it("connects to the target from the source's own IP number", async () => {
    await roundTrip();
    expect(peers.at(-1)).toEqual(SOURCE_IP);
  });

  it("delays both directions and keeps the order", async () => {
    const zones = [{ zone: "split-a" }, { zone: "zagreb-a" }] as const;
    await setFaults([{ kind: "latency", between: [...zones], ms: 25 }]);
    const { socket, text } = open();
    socket.write("first");
    await eventually(() => text() === "first");
    const sent = Array.from({ length: 500 }, (_, index) => `${index};`);
    const startedAt = performance.now();
    for (const one of sent) socket.write(one);
    await eventually(() => text().length >= 5 + sent.join("").length);
    expect(performance.now() - startedAt >= 49).toEqual(true);
    expect(text()).toEqual("first" + sent.join(""));
  });

  it("cuts one way: requests pass, answers do not", async () => {
    const { socket, text, ended } = open();
    socket.write("a");
    await eventually(() => text() === "a");
    const { from, to } = between;
    await setFaults([{ kind: "cut", from: to, to: from, ways: "one" }]);
    socket.write("b");
    await eventually(() => received === "ab");
    await setFaults([]);
    await eventually(() => ended() !== "");
    expect(text()).toEqual("a");
  });

  it("cuts one way: requests do not pass, answers do", async () => {
    const { socket, text } = open();
    socket.write("a");
    await eventually(() => text() === "a");
    await setFaults([{ kind: "cut", ...between, ways: "one" }]);
    socket.write("b");
    for (const one of accepted) {
      if (one.writable) one.write("c");
    }
    await eventually(() => text().includes("c"));
    expect(received.includes("b")).toEqual(false);
  });

  it("turns connections into black holes until the cut is healed", async () => {
    const old = open();
    old.socket.write("a");
    await eventually(() => old.text() === "a");
    await setFaults([{ kind: "cut", ...between }]);
    const accepted = await countAccepted();
    const fresh = open();
    // The kernel completes the handshake before the network has accepted the
    // connection; a cut that is healed in between has no effect on it.
    await eventually(async () => await countAccepted() > accepted);
    old.socket.write("b");
    fresh.socket.write("c");
    expect([old.ended(), fresh.ended()]).toEqual(["", ""]);
    await setFaults([]);
    await eventually(() => old.ended() !== "" && fresh.ended() !== "");
    await roundTrip();
    expect(received).toEqual("a!");
  });

  it("resets connections when asked to", async () => {
    const old = open();
    old.socket.write("a");
    await eventually(() => old.text() === "a");
    await setFaults([{ kind: "cut", ...between, reset: true }]);
    const fresh = open();
    await eventually(() => old.ended() !== "" && fresh.ended() !== "");
    expect([old.ended(), fresh.ended()]).toEqual(["ECONNRESET", "ECONNRESET"]);
  });

  it("loses the reply of the next connection after the request arrived", async () => {
    await setFaults([{ kind: "lose-reply", ...between, connections: 1 }]);
    const { socket, text } = open();
    socket.write("a");
    await eventually(() => received === "a");
    await roundTrip();
    expect(text()).toEqual("");
  });
});
