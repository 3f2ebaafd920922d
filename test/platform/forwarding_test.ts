/**
 * Real processes that use each other's connections to the instances.
 *
 * @module
 */
import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { eventually } from "../support/eventually.ts";
import { Deployment, type MemberState } from "./fixtures/deployment.ts";

/** Events of the hosts' logs. */
const HOLDER_CHANGED = 620;

const PRIMARY = "i-ledger-0";

describe("hosts that share few connections", () => {
  let deployment: Deployment;
  afterEach(() => deployment.stop());

  const member = async (id: string): Promise<MemberState> =>
    (await deployment.members()).find((one) => one.id === id)!;

  /** Names of the holder and the standby that all hosts know for an instance. */
  async function agreedHolders(id = PRIMARY): Promise<readonly string[]> {
    let agreed: readonly string[] = [];
    await eventually(() => {
      const views = deployment.hosts.map(({ log }) => {
        const line = log.findLast((one) =>
          one.event === HOLDER_CHANGED && one["instance"] === id
        );
        return `${line?.["holder"]} ${line?.["standby"]}`;
      });
      agreed = views[0]!.split(" ");
      return new Set(views).size === 1 && !views[0]!.includes("undefined");
    });
    return agreed;
  }

  it("run the statements of all hosts on the holder's connections", async () => {
    deployment = await Deployment.start({
      hosts: 3,
      hostZones: ["zagreb-a"],
      channels: true,
      connections: 2,
    });
    const [holder] = await agreedHolders();
    for (const index of [0, 1, 2]) {
      const caller = await deployment.open(index, "booking");
      for (let turn = 0; turn < 5; turn += 1) {
        const id = `w${index}x${turn}`;
        const answer = await caller.run(`WRITE ${id} data of ${id}`, id);
        expect(answer.error).toEqual(undefined);
        const read = await caller.run(`READ ${id}`);
        expect(read.rows).toEqual([`data of ${id}`]);
      }
      caller.close();
    }
    const { ran } = await member(PRIMARY);
    expect(ran.filter(({ word }) => word === "WRITE").length).toEqual(15);
    const users = new Set(ran.map(({ account }) => account));
    expect([...users]).toEqual([holder!]);
  });
});
