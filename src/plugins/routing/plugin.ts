/**
 * Registers the routing policy selected in the settings.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import type { Settings } from "../../kernel/settings.ts";
import { PrimaryPolicy, StickyPolicy } from "./primary_policy.ts";
import type { RoutingPolicy } from "./routing.ts";
import { type PolicyContext, SessionPolicy } from "./session_policy.ts";

const DEFAULT_CATCH_UP_WAIT_MS = 250;

function createPolicy(
  name: Settings["policy"],
  context: PolicyContext,
): RoutingPolicy {
  if (name === "primary") return new PrimaryPolicy(context);
  if (name === "sticky") return new StickyPolicy(context);
  return new SessionPolicy(context);
}

registerPlugin({
  name: "routing",
  needs: ["health", "connections", "configuration"],
  create: (context) => {
    const configuration = context.use("configuration");
    return createPolicy(context.settings.policy, {
      health: context.use("health"),
      connections: context.use("connections"),
      zone: context.settings.zone,
      catchUpWait: (database) =>
        configuration.group(database)?.reads.catchUpWait ??
          DEFAULT_CATCH_UP_WAIT_MS,
    });
  },
});
