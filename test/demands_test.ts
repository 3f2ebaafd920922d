/**
 * What proxies say of themselves reaches the others.
 *
 * @module
 */
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import { createEventLog } from "../src/kernel/events.ts";
import type { Host, HostList } from "../src/plugins/host_list/host_list.ts";
import { GossipMembership } from "../src/plugins/membership/gossip_membership.ts";
import { TrpcPeers } from "../src/plugins/peers/trpc_peers.ts";
import { eventually } from "./support/eventually.ts";

const COUNT = 16;
const log = createEventLog("fatal", {});

describe("membership of more proxies than one has partners", () => {
  const peers: TrpcPeers[] = [];
  const members: GossipMembership[] = [];
  const hosts: Host[] = [];
  const hostList: HostList = {
    hosts: () => hosts,
    isLeaving: () => false,
    subscribe: () => () => undefined,
  };

  before(async () => {
    for (let place = 1; place <= COUNT; place += 1) {
      const address = `127.41.9.${place}`;
      const peerKey = "the key of the demands";
      const one = new TrpcPeers({ address, peerPort: 0, peerKey }, log);
      await one.start();
      peers.push(one);
      hosts.push({
        ...{ name: `proxy-${place}`, kind: "proxy", zone: "zagreb-a" },
        ...{ endpoint: one.endpoint, state: "live" },
      });
    }
    for (const [index, one] of peers.entries()) {
      const { name, zone } = hosts[index]!;
      const member = new GossipMembership({
        ...{ name, zone, peers: one, hostList, log },
      });
      members.push(member);
      await member.start();
    }
  });
  after(async () => {
    for (const member of members) await member.stop();
    for (const one of peers) await one.stop();
  });

  it("makes all known to all", async () => {
    await eventually(
      () => members.every((member) => member.alive().length === COUNT),
      "all are alive to all",
    );
  });

  it("brings the demands and the revision of one to all", async () => {
    const demand = { database: "booking", instance: "booking-1", wanted: 7 };
    members[0]!.publishDemands([demand]);
    members[0]!.publishRevision(3);
    const heard = (member: GossipMembership) =>
      member.alive().find((state) => state.name === "proxy-1");
    await eventually(
      () => members.every((one) => heard(one)?.demands.length === 1),
      "the demand at all",
    );
    for (const member of members) {
      expect(heard(member)?.demands).toEqual([demand]);
      expect(heard(member)?.revision).toEqual(3);
    }
  });

  it("brings the word of one that leaves to all", async () => {
    await members[0]!.publishLeaving();
    await eventually(
      () => members.slice(1).every((one) => one.alive().length === COUNT - 1),
      "the leaving one is gone",
    );
  });
});
