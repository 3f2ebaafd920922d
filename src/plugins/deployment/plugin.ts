/**
 * Registers the active configuration and the directory of instances. The
 * plug-ins that follow the platform keep both up to date.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { InstanceDirectory } from "./instance_directory.ts";
import type { ProxyLocation } from "./proxy_location.ts";
import { ActiveRoutes } from "./routes.ts";

declare module "../../kernel/kernel.ts" {
  interface Services {
    routes: ActiveRoutes;
    directory: InstanceDirectory;
    /** Provided by the process at startup. */
    place: ProxyLocation;
  }
}

registerPlugin({
  name: "routes",
  needs: [],
  create: () => new ActiveRoutes(),
});

registerPlugin({
  name: "directory",
  needs: [],
  create: () => new InstanceDirectory(),
});
