import { describe, it } from "node:test";
import { expect } from "earl";
import { MemberTable } from "../src/plugins/membership/member_table.ts";
import type {
  Liveness,
  Member,
  ProxyState,
} from "../src/plugins/membership/membership.ts";

const state = (incarnation: number, endpoint: string): ProxyState => ({
  ...{ name: "proxy-1", zone: "zagreb-a", endpoint, incarnation },
  ...{ version: 0, revision: 0, leaving: false, demands: [] },
});

const former = (liveness: Liveness): Member => ({
  state: state(2_000, "10.0.0.1:7000"),
  liveness,
});

describe("a proxy that replaces one of its name, on a host whose time of day is behind", () => {
  // Guards against a replacement that nobody takes for a member, since its number is lower than its predecessor's.
  it("takes a later incarnation once its predecessor at another endpoint is gone", () => {
    const table = new MemberTable(state(1_000, "10.0.0.9:7000"));
    expect(table.apply(former("gone"))).toEqual("refuted");
    expect(table.ownState.incarnation > 2_000).toEqual(true);
    expect(table.ownState.endpoint).toEqual("10.0.0.9:7000");
  });

  it("leaves the name to another process that is not gone", () => {
    for (const liveness of ["alive", "suspected"] as const) {
      const table = new MemberTable(state(1_000, "10.0.0.9:7000"));
      expect(table.apply(former(liveness))).toEqual("none");
      expect(table.ownState.incarnation).toEqual(1_000);
    }
  });

  it("is taken for a member again by those that knew its predecessor", () => {
    const own = new MemberTable(state(1_000, "10.0.0.9:7000"));
    const other = new MemberTable({
      ...state(5_000, "10.0.0.2:7000"),
      name: "proxy-2",
    });
    other.apply(former("alive"));
    other.apply(former("gone"));
    expect(other.apply(own.ownMember)).toEqual("none");
    own.apply(other.get("proxy-1")!);
    expect(other.apply(own.ownMember)).toEqual("joined");
    expect(other.get("proxy-1")!.state.endpoint).toEqual("10.0.0.9:7000");
  });
});
