import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { request } from "undici";
import { z } from "zod";
import { createEventLog } from "../src/kernel/events.ts";
import { ResultCodes } from "../src/kernel/result_codes.ts";
import {
  createIncarnationId,
  formatSignedHeader,
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

const startedPeers: TrpcPeers[] = [];

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
  startedPeers.push(peers);
  return peers;
}

function serveSum(peers: TrpcPeers): () => number {
  let sum = 0;
  peers.serve(add, ({ amount }) => sum += amount);
  return () => sum;
}

describe("peers", () => {
  afterEach(async () => {
    for (const peers of startedPeers.splice(0)) await peers.stop();
  });

  describe("call", () => {
    it("resolves with the output of the procedure", async () => {
      const [caller, server] = [
        await startPeers(NEW_KEY),
        await startPeers(NEW_KEY),
      ];
      serveSum(server);
      const result = await caller.call(
        server.endpoint,
        add,
        { amount: 2 },
        TIMEOUT_MS,
      );
      expect(result._unsafeUnwrap()).toEqual(2);
    });

    it("reaches a peer that restarted at the same endpoint", async () => {
      const caller = await startPeers(NEW_KEY);
      const server = await startPeers(NEW_KEY);
      serveSum(server);
      await caller.call(server.endpoint, add, { amount: 1 }, TIMEOUT_MS);
      await server.stop();
      const restarted = new TrpcPeers(
        {
          address: "127.0.0.1",
          peerPort: Number(server.endpoint.split(":")[1]),
          peerKey: NEW_KEY,
        },
        createEventLog("fatal", {}),
      );
      await restarted.start();
      startedPeers.push(restarted);
      serveSum(restarted);
      const result = await caller.call(
        restarted.endpoint,
        add,
        { amount: 5 },
        TIMEOUT_MS,
      );
      expect(result._unsafeUnwrap()).toEqual(5);
    });

    it("fails with PEER_UNAVAILABLE when no process listens at the endpoint", async () => {
      const caller = await startPeers(NEW_KEY);
      const server = await startPeers(NEW_KEY);
      await server.stop();
      const result = await caller.call(
        server.endpoint,
        add,
        { amount: 1 },
        TIMEOUT_MS,
      );
      expect(result._unsafeUnwrapErr().code).toEqual(
        ResultCodes.PEER_UNAVAILABLE,
      );
    });
  });

  describe("client connections", () => {
    it("use the configured local address", async () => {
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

  describe("a request signed with a wrong key", () => {
    it("is rejected with PEER_UNAUTHORIZED and has no effect", async () => {
      const caller = await startPeers("quite another key");
      const server = await startPeers(NEW_KEY);
      const sum = serveSum(server);
      const result = await caller.call(
        server.endpoint,
        add,
        { amount: 1 },
        TIMEOUT_MS,
      );
      expect(result._unsafeUnwrapErr().code).toEqual(
        ResultCodes.PEER_UNAUTHORIZED,
      );
      expect(sum()).toEqual(0);
    });
  });

  describe("key rotation", () => {
    it("lets a peer that has both keys exchange calls with peers that have only the old or only the new key", async () => {
      const pairs = [
        [await startPeers(OLD_KEY), await startPeers(NEW_KEY, OLD_KEY)],
        [await startPeers(NEW_KEY), await startPeers(NEW_KEY, OLD_KEY)],
      ] as const;
      for (const [left, right] of pairs) {
        for (const [from, to] of [[left, right], [right, left]] as const) {
          serveSum(to);
          const result = await from.call(
            to.endpoint,
            add,
            { amount: 3 },
            TIMEOUT_MS,
          );
          expect(result.isOk()).toEqual(true);
        }
      }
    });
  });

  describe("a replayed request", () => {
    it("takes effect once, and is rejected for another incarnation", async () => {
      const server = await startPeers(NEW_KEY);
      const sum = serveSum(server);
      const body = JSON.stringify({ amount: 1 });
      const sender = createIncarnationId();
      const send = async (receiver: string, sequence: number) => {
        const header = { sender, receiver, sequence };
        const signed = signRequest(NEW_KEY, header, "/add", body);
        const response = await request(`http://${server.endpoint}/add`, {
          method: "POST",
          headers: { [SIGNATURE_HEADER]: formatSignedHeader(signed) },
          body,
        });
        return {
          status: response.statusCode,
          text: await response.body.text(),
        };
      };
      const mismatch = await send(createIncarnationId(), 1);
      expect(mismatch.status).toEqual(409);
      expect((await send(mismatch.text, 2)).status).toEqual(200);
      expect((await send(mismatch.text, 2)).status).toEqual(403);
      expect((await send(createIncarnationId(), 3)).status).toEqual(409);
      expect(sum()).toEqual(1);
    });
  });
});
