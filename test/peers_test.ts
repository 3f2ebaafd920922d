import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { request } from "undici";
import { z } from "zod";
import { createEventLog } from "../src/kernel/events.ts";
import { ResultCodes } from "../src/kernel/result_codes.ts";
import {
  createStartId,
  formatSignedOrigin,
  SIGNATURE_HEADER,
  signRequest,
} from "../src/plugins/peers/message_signature.ts";
import type { PeerProcedure } from "../src/plugins/peers/peers.ts";
import { TrpcPeers } from "../src/plugins/peers/trpc_peers.ts";

const OLD_KEY = "the key of last month";
const NEW_KEY = "the key of this month";
const TIMEOUT_MS = 5_000;

const add: PeerProcedure<{ amount: number }, number> = {
  name: "add",
  input: z.object({ amount: z.number() }),
  output: z.number(),
};

const running: TrpcPeers[] = [];

async function startPeers(
  peerKey: string,
  peerKeyBefore?: string,
  address = "127.0.0.1",
): Promise<TrpcPeers> {
  const peers = new TrpcPeers(
    { address, peerPort: 0, peerKey, peerKeyBefore },
    createEventLog("fatal", {}),
  );
  await peers.start();
  running.push(peers);
  return peers;
}

function serveSum(peers: TrpcPeers): () => number {
  let sum = 0;
  peers.serve(add, ({ amount }) => sum += amount);
  return () => sum;
}

describe("peers", () => {
  afterEach(async () => {
    for (const peers of running.splice(0)) await peers.stop();
  });

  describe("a call", () => {
    it("gets the answer of the procedure", async () => {
      const [caller, server] = [
        await startPeers(NEW_KEY),
        await startPeers(NEW_KEY),
      ];
      serveSum(server);
      const first = await caller.call(
        server.endpoint,
        add,
        { amount: 2 },
        TIMEOUT_MS,
      );
      expect(first._unsafeUnwrap()).toEqual(2);
    });

    it("reaches a peer that has started anew at the same endpoint", async () => {
      const caller = await startPeers(NEW_KEY);
      const server = await startPeers(NEW_KEY);
      serveSum(server);
      await caller.call(server.endpoint, add, { amount: 1 }, TIMEOUT_MS);
      await server.stop();
      const again = new TrpcPeers(
        {
          address: "127.0.0.1",
          peerPort: Number(server.endpoint.split(":")[1]),
          peerKey: NEW_KEY,
        },
        createEventLog("fatal", {}),
      );
      await again.start();
      running.push(again);
      serveSum(again);
      const answer = await caller.call(
        again.endpoint,
        add,
        { amount: 5 },
        TIMEOUT_MS,
      );
      expect(answer._unsafeUnwrap()).toEqual(5);
    });

    it("fails with PEER_UNAVAILABLE when nobody listens", async () => {
      const caller = await startPeers(NEW_KEY);
      const server = await startPeers(NEW_KEY);
      await server.stop();
      const answer = await caller.call(
        server.endpoint,
        add,
        { amount: 1 },
        TIMEOUT_MS,
      );
      expect(answer._unsafeUnwrapErr().code).toEqual(
        ResultCodes.PEER_UNAVAILABLE,
      );
    });
  });

  describe("a connection", () => {
    it("comes from the address of the caller", async () => {
      const addresses: (string | undefined)[] = [];
      const server = createServer((request, response) => {
        addresses.push(request.socket.remoteAddress);
        response.end();
      });
      await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
      const { port } = server.address() as AddressInfo;
      const caller = await startPeers(NEW_KEY, undefined, "127.0.0.77");
      await caller.call(`127.0.0.1:${port}`, add, { amount: 1 }, TIMEOUT_MS);
      server.close();
      server.closeAllConnections();
      expect(addresses).toEqual(["127.0.0.77"]);
    });
  });

  describe("a wrong key", () => {
    it("is refused and changes nothing", async () => {
      const caller = await startPeers("quite another key");
      const server = await startPeers(NEW_KEY);
      const sum = serveSum(server);
      const answer = await caller.call(
        server.endpoint,
        add,
        { amount: 1 },
        TIMEOUT_MS,
      );
      expect(answer._unsafeUnwrapErr().code).toEqual(
        ResultCodes.PEER_UNAUTHORIZED,
      );
      expect(sum()).toEqual(0);
    });
  });

  describe("rotation of the key", () => {
    it("keeps old, new and changing peers in touch, both ways", async () => {
      const pairs = [
        [await startPeers(OLD_KEY), await startPeers(NEW_KEY, OLD_KEY)],
        [await startPeers(NEW_KEY), await startPeers(NEW_KEY, OLD_KEY)],
      ] as const;
      for (const [left, right] of pairs) {
        for (const [from, to] of [[left, right], [right, left]] as const) {
          serveSum(to);
          const answer = await from.call(
            to.endpoint,
            add,
            { amount: 3 },
            TIMEOUT_MS,
          );
          expect(answer.isOk()).toEqual(true);
        }
      }
    });
  });

  describe("a recorded message", () => {
    it("counts once, and never at a later start", async () => {
      const server = await startPeers(NEW_KEY);
      const sum = serveSum(server);
      const body = JSON.stringify({ amount: 1 });
      const sender = createStartId();
      const send = async (receiver: string, sequence: number) => {
        const origin = { sender, receiver, sequence };
        const signed = signRequest(NEW_KEY, origin, "/add", body);
        const answer = await request(`http://${server.endpoint}/add`, {
          method: "POST",
          headers: { [SIGNATURE_HEADER]: formatSignedOrigin(signed) },
          body,
        });
        return { status: answer.statusCode, text: await answer.body.text() };
      };
      const present = await send(createStartId(), 1);
      expect(present.status).toEqual(409);
      expect((await send(present.text, 2)).status).toEqual(200);
      expect((await send(present.text, 2)).status).toEqual(403);
      expect((await send(createStartId(), 3)).status).toEqual(409);
      expect(sum()).toEqual(1);
    });
  });
});
