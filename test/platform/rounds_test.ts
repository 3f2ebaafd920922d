import { describe, it } from "node:test";
import { expect } from "earl";
import { errAsync, ok, okAsync } from "neverthrow";
import { clock } from "../../src/kernel/clock.ts";
import { createEventLog } from "../../src/kernel/events.ts";
import { createFailure, ResultCodes } from "../../src/kernel/result_codes.ts";
import { InstanceDirectory } from "../../src/plugins/deployment/instance_directory.ts";
import { InstanceRounds } from "../../src/plugins/leadership/instance_rounds.ts";
import type {
  LinkStatus,
  UpstreamLink,
} from "../../src/plugins/upstream/link.ts";

type Answer = Pick<LinkStatus, "role" | "term" | "pausedAt">;

/** Runs a round for leader `p` with the given answers; an instance without an answer is unreachable. */
async function confirm(
  answers: Readonly<Record<string, Answer>>,
): Promise<boolean> {
  const directory = new InstanceDirectory();
  directory.replaceAll(["p", "r1", "r2"].map((id) => ({
    id,
    group: "ledger",
    host: "10.0.0.1",
    port: 1,
    zone: "zagreb-a",
    leaving: false,
    claimsPrimary: id === "p",
    startedAt: 0,
  })));
  const link = (answer: Answer) =>
    ({
      status: () => Promise.resolve(ok(answer)),
      release: () => {},
    }) as unknown as UpstreamLink;
  const rounds = new InstanceRounds({
    directory,
    pools: {
      acquire: ({ instance: id }) => {
        const answer = answers[id];
        return answer ? okAsync(link(answer)) : errAsync(
          createFailure(ResultCodes.UPSTREAM_UNREACHABLE, `${id} is dead`),
        );
      },
    },
    log: createEventLog("silent", {}),
  });
  const leader = { instance: "p", epoch: "0:p" };
  return await rounds.confirm("ledger", leader, clock.now() + 500);
}

const asPrimary: Answer = { role: "primary", term: 1, pausedAt: 0 };
const asReplica: Answer = { role: "replica", term: 1, pausedAt: 0 };

describe("a status round", () => {
  it("confirms a leader that all other instances follow", async () => {
    expect(await confirm({ p: asPrimary, r1: asReplica, r2: asReplica }))
      .toEqual(true);
  });

  it("does not confirm a leader while another instance is paused at a later term", async () => {
    const paused = { ...asReplica, pausedAt: 2 };
    expect(await confirm({ p: asPrimary, r1: asReplica, r2: paused }))
      .toEqual(false);
  });

  it("does not confirm a leader that has become a replica of a later term", async () => {
    const demoted: Answer = { role: "replica", term: 2, pausedAt: 0 };
    expect(await confirm({ p: demoted, r1: demoted, r2: demoted }))
      .toEqual(false);
  });

  it("does not confirm a leader when another instance was promoted or is unreachable, even if the third still follows", async () => {
    const promoted: Answer = { role: "primary", term: 2, pausedAt: 0 };
    expect(await confirm({ p: asPrimary, r1: promoted, r2: asReplica }))
      .toEqual(false);
    expect(await confirm({ p: asPrimary, r2: asReplica })).toEqual(false);
  });
});
