/**
 * Registers the services that monitor primaries and proxies.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import type { Coordination, PromotionOrder } from "./coordination.ts";
import { HostWatch } from "./host_watch.ts";
import { InstanceRounds } from "./instance_rounds.ts";
import {
  createLivenessProbe,
  GroupNotices,
  serveProbes,
} from "./peer_procedures.ts";
import { Succession } from "./succession.ts";
import { WriteDelegation } from "./write_delegation.ts";

declare module "../../kernel/kernel.ts" {
  interface Services {
    /**
     * This and the next service are provided by the plug-ins that implement the
     * platform's protocols.
     */
    coordination: Coordination;
    promotionOrder: PromotionOrder;
    groupNotices: GroupNotices;
    writeDelegation: WriteDelegation;
    rounds: InstanceRounds;
    succession: Succession;
    hostWatch: HostWatch;
  }
}

registerPlugin({
  name: "groupNotices",
  needs: ["peers"],
  create: ({ use }) => new GroupNotices(use("peers")),
});

registerPlugin({
  name: "writeDelegation",
  needs: ["place", "peers"],
  create: ({ log, use }) =>
    new WriteDelegation({
      proxy: use("place").proxy,
      zone: use("place").zone,
      peers: use("peers"),
      log,
    }),
});

registerPlugin({
  name: "rounds",
  needs: ["directory", "pools"],
  create: ({ log, use }) =>
    new InstanceRounds({
      directory: use("directory"),
      pools: use("pools"),
      log,
    }),
});

registerPlugin({
  name: "succession",
  needs: [
    "place",
    "routes",
    "directory",
    "coordination",
    "pools",
    "connector",
    "rounds",
    "promotionOrder",
  ],
  create: ({ log, use }) =>
    new Succession({
      proxy: use("place").proxy,
      routes: use("routes"),
      directory: use("directory"),
      coordination: use("coordination"),
      pools: use("pools"),
      connector: use("connector"),
      rounds: use("rounds"),
      order: use("promotionOrder"),
      log,
    }),
});

registerPlugin({
  name: "hostWatch",
  needs: ["place", "routes", "coordination", "peers"],
  create: ({ log, use }) => {
    const peers = use("peers");
    const routes = use("routes");
    serveProbes(peers);
    return new HostWatch({
      proxy: use("place").proxy,
      coordination: use("coordination"),
      probe: createLivenessProbe(peers),
      dividesLimits: () =>
        routes.table?.accounts?.all().some(({ limit }) => limit) ?? false,
      log,
    });
  },
});
