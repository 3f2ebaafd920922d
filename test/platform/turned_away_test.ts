/**
 * The store turns away the host that replaces a primary, halfway.
 *
 * @module
 */
import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { eventually } from "../support/eventually.ts";
import { Deployment } from "./fixtures/deployment.ts";

/** The letter's bound on a change of primary, in ms. */
const CHANGE_BOUND_MS = 5_000;

const PRIMARY = "i-ledger-0";

describe("a host that the store turns away", () => {
  let deployment: Deployment;
  afterEach(() => deployment.stop());

  // Guards against hosts that know no primary until the store serves the holder again, and then one that is leaving (review/10).
  it("lets the others know of the primary that it had promoted", async () => {
    deployment = await Deployment.start({ hosts: 3 });
    await deployment.order("leave", PRIMARY);
    await eventually(
      async () => (await deployment.promotions()).length > 0,
      "a promotion",
    );
    const { id, holder } = (await deployment.promotions())[0]!;
    const turnedAway = deployment.hosts.map(({ name }) => name === holder);
    await deployment.doors(
      ...turnedAway.map((isHolder) => isHolder ? "busy" as const : "up"),
    );
    await deployment.order("leave", id);
    const startedAt = performance.now();
    const other = turnedAway.indexOf(false);
    await eventually(async () => {
      const caller = await deployment.open(other, "booking");
      const answer = await caller.run("WRITE a x").catch(() => undefined);
      caller.close();
      return answer !== undefined && answer.error === undefined;
    }, "a write is served");
    expect(performance.now() - startedAt < CHANGE_BOUND_MS).toEqual(true);
  });
});
