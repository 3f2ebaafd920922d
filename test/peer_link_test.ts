import { describe, it } from "node:test";
import { expect } from "earl";
import {
  type LinkCallbacks,
  PeerLink,
} from "../src/plugins/membership/peer_link.ts";
import { eventually } from "./support/eventually.ts";

const PROBE_COUNT = 20;

/** Probes a partner that doesn't answer; returns whether it was suspected. */
async function isSuspected(
  options: Partial<LinkCallbacks> & {
    /** Called during each probe. */
    readonly onProbe?: () => void;
    /** Whether the partner answers the probe of that number, from 1; never by default. */
    readonly answers?: (probe: number) => boolean;
  },
): Promise<boolean> {
  let probes = 0;
  let suspected = false;
  const link = new PeerLink("partner", {
    exchange: () => {
      probes += 1;
      options.onProbe?.();
      return Promise.resolve(options.answers?.(probes) ?? false);
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

  // Guards against suspicions by a process whose own delays make a few probes in a row fail.
  it("is not suspected for a few failures of a delayed process", async () => {
    let delays = 0;
    const suspected = await isSuspected({
      answers: (probe) => probe % 4 === 0,
      countDelays: () => delays += 1,
    });
    expect(suspected).toEqual(false);
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
