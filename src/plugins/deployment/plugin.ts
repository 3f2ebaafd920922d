/**
 * Registers the configuration in force and the list of instances. Who follows
 * the platform brings both up to date.
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
    /** Given by the process. */
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
