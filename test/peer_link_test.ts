import { describe, it } from "node:test";
import { expect } from "earl";
import {
  type LinkCallbacks,
  PeerLink,
} from "../src/plugins/membership/peer_link.ts";
import { eventually } from "./support/eventually.ts";

const PROBE_COUNT = 20;

/** Probes a partner that never answers; returns whether it was suspected. */
async function isSuspected(
  options: Partial<LinkCallbacks> & {
    /** Called during each probe. */
    readonly onProbe?: () => void;
  },
): Promise<boolean> {
  let probes = 0;
  let suspected = false;
  const link = new PeerLink("partner", {
    exchange: () => {
      probes += 1;
      options.onProbe?.();
      return Promise.resolve(false);
    },
    probeIndirectly: () => Promise.resolve(false),
    countMessages: () => 0,
    countDelays: () => 0,
    suspect: () => {
      suspected = true;
    },
    nextProbeDelay: () => 1,
    ...options,
  });
  link.start();
  await eventually(() => suspected || probes >= PROBE_COUNT);
  await link.stop();
  return suspected;
}

describe("a gossip partner that does not answer", () => {
  it("is suspected if nothing of it arrives", async () => {
    expect(await isSuspected({})).toEqual(true);
  });

  it("is suspected by a process that is always delayed, too", async () => {
    let delays = 0;
    expect(await isSuspected({ countDelays: () => delays += 1 })).toEqual(true);
  });

  // Guards against live members that count as gone because this process is too slow to see their answers.
  it("is not suspected while its own messages arrive", async () => {
    let delays = 0;
    let messages = 0;
    const suspected = await isSuspected({
      onProbe: () => messages += 1,
      countMessages: () => messages,
      countDelays: () => delays += 1,
    });
    expect(suspected).toEqual(false);
  });
});
