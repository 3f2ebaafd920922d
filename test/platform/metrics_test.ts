import { beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import { createEventLog } from "../../src/kernel/events.ts";
import { MetricsServer } from "../../src/plugins/metrics/metrics_server.ts";
import { RequestCounters } from "../../src/plugins/metrics/request_counters.ts";

/** A sample: its name, its labels and its value. */
const SAMPLE =
  /^[a-z_]+(?:\{(?:[a-z]+="(?:[^"\\\n]|\\["\\n])*",?)+\})? [-+.e\d]+$/;

describe("the metrics page", () => {
  let requests: RequestCounters;
  beforeEach(() => {
    requests = new RequestCounters();
  });

  const render = (database: string, instance: string) =>
    new MetricsServer({ host: "127.0.0.1", port: 0 }, {
      requests,
      pools: {
        use: () => [{
          database,
          instance,
          open: 1,
          busy: 0,
          waiting: 0,
          share: 2,
          opened: 3,
          schedule: {
            pace: 6.5,
            paceReason: "slower, but not crowded",
            paceAge: 1_200.5,
            inFlight: 4,
            accounts: [{
              account: database,
              waiting: 1,
              open: 2,
              served: 3,
              opened: 4,
              closed: 5,
            }],
          },
        }],
      },
      callers: () => 0,
      configurationVersion: () => 1,
      storeConfirmationAge: () => 0,
      droppedLogLines: () => 0,
      accounts: () => [
        { account: database, granted: 2, used: 1, refused: 0 },
      ],
    }, createEventLog("silent", {})).render();

  // Guards against a name that makes the whole page unreadable or forges a sample.
  it("can be read whatever the names of groups, instances and accounts contain", () => {
    const names = [
      "ledger",
      'a"',
      'a"}1',
      "a\\",
      "a\nmarjoramshed_callers 7",
      "床",
    ];
    for (const name of names) {
      const lines = render(name, `i-${name}`).trimEnd().split("\n");
      expect(lines.filter((line) => !SAMPLE.test(line))).toEqual([]);
      const callers = lines.filter((line) =>
        /^marjoramshed_callers /.test(line)
      );
      expect(callers).toEqual(["marjoramshed_callers 0"]);
    }
    expect(
      render('a"\\b', "i-1").includes('{group="a\\"\\\\b",instance="i-1"}'),
    )
      .toEqual(true);
  });

  it("has no label for each instance among the reasons of failed attempts", () => {
    for (const letter of "abcdefghij") {
      requests.attemptFailed(`instance i-${letter} is gone`);
      requests.attemptFailed(`i-${letter} could not be reached a moment ago`);
    }
    requests.attemptFailed("lagging");
    requests.attemptFailed("closed by the instance");
    requests.attemptFailed("no answer within 300 ms");
    expect(Object.fromEntries(requests.failedAttempts)).toEqual({
      "connection failed": 20,
      lagging: 1,
      "closed by the instance": 1,
      silent: 1,
    });
  });
});
