/**
 * Registers the `quotas` service.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { QuotaService } from "./quota_service.ts";

registerPlugin({
  name: "quotas",
  needs: ["place", "routes", "coordination", "channels"],
  create: ({ log, use }) =>
    new QuotaService({
      proxy: use("place").proxy,
      routes: use("routes"),
      coordination: use("coordination"),
      channels: use("channels"),
      log,
    }),
});
