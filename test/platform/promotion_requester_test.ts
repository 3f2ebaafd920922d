import { afterEach, beforeEach, describe, it } from "node:test";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "earl";
import { PromotionRequester } from "../../platform/promotion_requester.ts";
import { clock } from "../../src/kernel/clock.ts";

const TIMEOUT_MS = 1_000;

describe("the order of a promotion", () => {
  let server: Server;
  let requester: PromotionRequester;
  /** Headers and body of each order that arrived. */
  let orders: { readonly headers: readonly string[]; readonly body: unknown }[];

  beforeEach(async () => {
    orders = [];
    server = createServer(async (request, response) => {
      const parts: Buffer[] = [];
      for await (const part of request) parts.push(part);
      const body = JSON.parse(Buffer.concat(parts).toString("utf8"));
      orders.push({ headers: request.rawHeaders, body });
      response.writeHead(200).end();
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    requester = new PromotionRequester({ host: "127.0.0.1", port });
  });
  afterEach(() => {
    requester.stop();
    server.closeAllConnections();
    server.close();
  });

  const promote = (holder: string, group = "ledger", instance = "i-1") =>
    requester.promote(
      { group, instance, holder, token: 7 },
      clock.now() + TIMEOUT_MS,
      () => true,
    );

  const holderOf = ({ headers }: typeof orders[number]) => {
    const index = headers.indexOf("Marjoramshed-Lease-Holder");
    return Buffer.from(headers[index + 1] ?? "", "latin1").toString("utf8");
  };

  it("names its holder as the settings do", async () => {
    for (const name of ["client-zagreb-a-1", "client-šibenik-a-1", "床 é"]) {
      expect((await promote(name)).kind).toEqual("accepted");
      expect(holderOf(orders.at(-1)!)).toEqual(name);
    }
  });

  // Guards against a name that ends its header, and against an order that never leaves.
  it("leaves with a holder's name that no header can carry", async () => {
    const name = "a\r\nMarjoramshed-Fencing-Token: 9\0";
    expect((await promote(name)).kind).toEqual("accepted");
    const [{ headers }] = orders as [typeof orders[number]];
    expect(headers.filter((text) => text === "9")).toEqual([]);
    expect(headers[headers.indexOf("Marjoramshed-Fencing-Token") + 1])
      .toEqual("7");
    expect(holderOf(orders[0]!))
      .toEqual("a%0D%0AMarjoramshed-Fencing-Token: 9%00");
  });

  it("carries the names of the group and the instance unchanged", async () => {
    await promote("a", "kotačić\r\n", '床"\0');
    expect(orders[0]!.body).toEqual({ service: "kotačić\r\n", id: '床"\0' });
  });
});
