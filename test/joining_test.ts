/**
 * Proxies that have just started: they are contacted soon, and a planned change of
 * primary does not overlook those that membership has not found yet.
 *
 * @module
 */
import { describe } from "node:test";
import { expect } from "earl";
import { errAsync, okAsync } from "neverthrow";
import {
  createFailure,
  type ResultCode,
  ResultCodes,
} from "../src/kernel/result_codes.ts";
import { PeerAnnouncer } from "../src/plugins/failover/peer_announcer.ts";
import type { Host } from "../src/plugins/host_list/host_list.ts";
import { HostJoiner } from "../src/plugins/membership/host_joiner.ts";
import type { Member } from "../src/plugins/membership/membership.ts";
import type { Peers } from "../src/plugins/peers/peers.ts";
import { FakeMembership } from "./fixtures/fake_platform.ts";
import { itInVirtualTime as it } from "./platform/fixtures/virtual_time.ts";
import { eventually } from "./support/eventually.ts";

const hostOf = (name: string): Host => ({
  name,
  kind: "proxy",
  zone: "a",
  endpoint: `${name}:1`,
  state: "live",
});

describe("joining", () => {
  it("contacts every listed proxy within seconds though another one is known", async () => {
    const names = Array.from({ length: 15 }, (_, index) => `p${index + 1}`);
    const members = new Map<string, Member>();
    const [known] = new FakeMembership(["p1"]).members();
    members.set("p1", known!);
    const contacted = new Set<string>();
    const joiner = new HostJoiner({
      ownName: "p0",
      hostList: {
        hosts: () => names.map(hostOf),
        isLeaving: () => false,
        subscribe: () => () => {},
      },
      table: {
        get: (name) => members.get(name),
        others: () => [...members.values()],
      },
      gossip: {
        exchange: (name) => {
          contacted.add(name);
          return Promise.resolve(true);
        },
        reconcile: () => Promise.resolve(),
      },
    });
    joiner.start();
    await eventually(() => contacted.size === 14, "all contacted", 6_000)
      .finally(() => joiner.stop());
  });

  it("does not contact a proxy again at once that did not answer", async () => {
    const members = new FakeMembership(["p1"]).members();
    const contacts: string[] = [];
    const joiner = new HostJoiner({
      ownName: "p0",
      hostList: {
        hosts: () => [hostOf("p1"), hostOf("p2")],
        isLeaving: () => false,
        subscribe: () => () => {},
      },
      table: {
        get: (name) => members.find(({ state }) => state.name === name),
        others: () => members,
      },
      gossip: {
        exchange: (name) => {
          contacts.push(name);
          return Promise.resolve(false);
        },
        reconcile: () => Promise.resolve(),
      },
    });
    joiner.start();
    await new Promise((resolve) => setTimeout(resolve, 2_500));
    await joiner.stop();
    expect(contacts).toEqual(["p2"]);
  });
});

describe("the announcement of a planned change of primary", () => {
  function createAnnouncer(
    answers: Readonly<Record<string, boolean | ResultCode>>,
  ) {
    const called: string[] = [];
    const peers = {
      call: (endpoint: string) => {
        called.push(endpoint);
        const answer = answers[endpoint];
        return typeof answer === "boolean"
          ? okAsync({ taken: true, drained: answer })
          : errAsync(
            createFailure(answer ?? ResultCodes.PEER_UNAVAILABLE, "silent"),
          );
      },
    } as unknown as Pick<Peers, "call">;
    const announcer = new PeerAnnouncer({
      proxy: "p0",
      peers,
      membership: new FakeMembership(["p0", "p1"]),
      hostList: { hosts: () => ["p0", "p1", "p2"].map(hostOf) },
    });
    return { announcer, called };
  }

  it("reaches a listed proxy that membership has not found yet", async () => {
    const { announcer, called } = createAnnouncer({
      "127.0.0.1:1": true,
      "p2:1": true,
    });
    expect(await announcer.hold("booking", "a", 100)).toEqual(true);
    expect(called).toEqual(["127.0.0.1:1", "p2:1"]);
  });

  it("tells that a proxy has not drained or has not answered", async () => {
    for (const answer of [false, ResultCodes.PEER_UNAVAILABLE]) {
      const { announcer } = createAnnouncer({
        "127.0.0.1:1": true,
        "p2:1": answer,
      });
      expect(await announcer.hold("booking", "a", 100)).toEqual(false);
    }
  });
});
