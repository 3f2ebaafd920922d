import { describe, it } from "node:test";
import { expect } from "earl";
import { resolveSettings } from "../src/kernel/settings.ts";
import { exchange } from "../src/plugins/membership/procedures.ts";

const REQUIRED = [
  ...["--name", "p1", "--zone", "zagreb-a", "--peer-key", "0".repeat(16)],
  ...["--table-service", "http://127.0.0.1:1"],
  ...["--object-store", "http://127.0.0.1:2"],
  ...["--host-list", "http://127.0.0.1:3"],
];

/** A message in which a proxy introduces itself. */
function introduce(name: string, zone: string, endpoint: string) {
  const member = [name, zone, endpoint, 1, 1, 0, 0, 0, []];
  return { from: name, sum: 0, updates: [member] };
}

describe("settings of a proxy", () => {
  // Guards against a proxy that starts and whose messages all others refuse.
  it("that are accepted fit into the messages to other proxies", () => {
    const accepted: number[] = [];
    for (const length of [1, 60, 123, 128, 129, 300]) {
      const zone = "z".repeat(length);
      const endpoint = `${"h".repeat(length)}:6433`;
      const flags = ["--zone", zone, "--peer-endpoint", endpoint];
      const settings = resolveSettings([...REQUIRED, ...flags], {});
      if (settings.isErr()) continue;
      const { name, peerEndpoint } = settings.value;
      const message = introduce(name, settings.value.zone, peerEndpoint!);
      expect(exchange.input.safeParse(message).success).toEqual(true);
      accepted.push(length);
    }
    expect(accepted).toEqual([1, 60, 123]);
  });

  it("name the flag that is too long", () => {
    for (
      const [flag, value] of [
        ["--zone", "z".repeat(129)],
        ["--peer-endpoint", `${"h".repeat(300)}:6433`],
      ] as const
    ) {
      const settings = resolveSettings([...REQUIRED, flag, value], {});
      expect(settings._unsafeUnwrapErr().message.startsWith(flag))
        .toEqual(true);
    }
  });
});
