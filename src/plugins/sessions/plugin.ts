/**
 * Registers the context that all sessions share, and the request counters.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { PrimarySamples } from "../freshness/primary_samples.ts";
import { RequestCounters } from "../metrics/request_counters.ts";
import { RequestLog } from "./request_log.ts";
import type { SessionContext } from "./session_context.ts";

declare module "../../kernel/kernel.ts" {
  interface Services {
    requestCounters: RequestCounters;
    sessions: SessionContext;
  }
}

registerPlugin({
  name: "requestCounters",
  needs: [],
  create: () => new RequestCounters(),
});

registerPlugin({
  name: "sessions",
  needs: [
    "routes",
    "directory",
    "pools",
    "succession",
    "placement",
    "quotas",
    "requestCounters",
  ],
  create: ({ log, use }) => {
    const samples = new Map<string, PrimarySamples>();
    return {
      routes: use("routes"),
      directory: use("directory"),
      pools: use("pools"),
      succession: use("succession"),
      placement: use("placement"),
      quotas: use("quotas"),
      samples: (group) => {
        const groupSamples = samples.get(group) ?? new PrimarySamples();
        samples.set(group, groupSamples);
        return groupSamples;
      },
      log,
      requests: new RequestLog(log, use("requestCounters")),
    };
  },
});
