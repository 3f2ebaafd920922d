/**
 * Registers the configuration in force and the list of instances. Who follows
 * the platform brings both up to date.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { InstanceDirectory } from "./instance_directory.ts";
import type { Place } from "./place.ts";
import { ActiveRoutes } from "./routes.ts";

declare module "../../kernel/kernel.ts" {
  interface Services {
    routes: ActiveRoutes;
    directory: InstanceDirectory;
    /** Given by the process. */
    place: Place;
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
