/**
 * Registers the holders of instances, the links to instances through them, and
 * the service for the proxies that forward their work to this one.
 *
 * @module
 */
import { Events } from "../../kernel/events.ts";
import { registerPlugin } from "../../kernel/kernel.ts";
import type { LinkPools } from "../connections/link_pools.ts";
import { ForwardingCounters } from "./forwarding_counters.ts";
import { ForwardingPools } from "./forwarding_pools.ts";
import { ForwardingReport } from "./forwarding_report.ts";
import { HolderHealth } from "./holder_health.ts";
import { HolderLoads } from "./holder_loads.ts";
import { Holders } from "./holders.ts";
import { HolderService } from "./holder_service.ts";
import { HolderStop } from "./holder_stop.ts";
import { LocalWork } from "./local_work.ts";
import { PrimaryObserver } from "./primary_observer.ts";
import { WorkSender } from "./work_sender.ts";

declare module "../../kernel/kernel.ts" {
  interface Services {
    holders: Holders;
    forwardingCounters: ForwardingCounters;
    localWork: LocalWork;
    holderService: HolderService;
    holderStop: HolderStop;
    forwardingReport: ForwardingReport;
    pools: LinkPools;
  }
}

/** Time limit for the trial of a holder that failed, in ms: what a ping may take. */
const TRIAL_TIMEOUT_MS = 600;

registerPlugin({
  name: "holders",
  needs: ["place", "routes", "directory", "coordination", "channels"],
  create: ({ log, use }) =>
    new Holders({
      place: use("place"),
      routes: use("routes"),
      directory: use("directory"),
      coordination: use("coordination"),
      channels: use("channels"),
      log,
    }),
});

registerPlugin({
  name: "holderRule",
  needs: ["holders"],
  create: ({ use }) => {
    const holders = use("holders");
    return {
      isScheduled: (group) => holders.isScheduled(group),
      scheduledShare: (instance) => holders.scheduledShare(instance),
    };
  },
});

registerPlugin({
  name: "forwardingCounters",
  needs: [],
  create: () => new ForwardingCounters(),
});

registerPlugin({
  name: "localWork",
  needs: ["directory", "upstreamPools"],
  create: ({ use, find }) =>
    new LocalWork(
      use("upstreamPools"),
      new PrimaryObserver(use("directory"), () => find("succession")),
    ),
});

registerPlugin({
  name: "pools",
  needs: [
    "place",
    "directory",
    "channels",
    "holders",
    "upstreamPools",
    "localWork",
    "forwardingCounters",
  ],
  create: ({ log, use }) => {
    const { proxy } = use("place");
    const channels = use("channels");
    const counters = use("forwardingCounters");
    const holders = use("holders");
    const { order, stopping, shares } = holders;
    const loads = new HolderLoads();
    const health = new HolderHealth(async (endpoint) => {
      const connected = await channels.connect(endpoint, TRIAL_TIMEOUT_MS);
      return connected.isOk();
    }, {
      onPassedOver: (endpoint, reason, pause) =>
        log.write(Events.HOLDER_PASSED_OVER, { endpoint, reason, pause }),
      onUsedAgain: (endpoint) =>
        log.write(Events.HOLDER_USED_AGAIN, { endpoint }),
    });
    return new ForwardingPools({
      pools: use("upstreamPools"),
      directory: use("directory"),
      scheduled: holders,
      shares,
      loads,
      channels,
      counters,
      local: use("localWork"),
      sender: new WorkSender({
        proxy,
        channels,
        order,
        health,
        stopping,
        loads,
        counters,
      }),
    });
  },
});

registerPlugin({
  name: "holderService",
  needs: [
    "routes",
    "directory",
    "channels",
    "holders",
    "localWork",
    "forwardingCounters",
  ],
  create: ({ use }) => {
    const routes = use("routes");
    return new HolderService({
      channels: use("channels"),
      directory: use("directory"),
      shares: use("holders").shares,
      work: use("localWork"),
      transactionIdleTimeout: () => routes.table?.transactionIdleTimeout,
      counters: use("forwardingCounters"),
    });
  },
});

registerPlugin({
  name: "holderStop",
  needs: ["place", "channels", "holders", "holderService"],
  create: ({ log, use }) =>
    new HolderStop({
      proxy: use("place").proxy,
      channels: use("channels"),
      holders: use("holders"),
      service: use("holderService"),
      log,
    }),
});

registerPlugin({
  name: "forwardingReport",
  needs: ["forwardingCounters"],
  create: ({ log, use }) =>
    new ForwardingReport(use("forwardingCounters"), log),
});
