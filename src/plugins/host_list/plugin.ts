/**
 * Registers the host list plug-in.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { HttpHostList } from "./http_host_list.ts";

registerPlugin({
  name: "host_list",
  needs: [],
  create: ({ settings, log }) =>
    new HttpHostList({
      url: settings.hostList,
      address: settings.address,
      log,
    }),
});
