/**
 * Registers the service that controls database groups.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { registerPlugin } from "../../kernel/kernel.ts";
import type { DatabaseGroup } from "./database_group.ts";
import { PostgresDatabaseGroup } from "./postgres_database_group.ts";

declare module "../../kernel/kernel.ts" {
  interface Services {
    database_group: DatabaseGroup;
  }
}

registerPlugin({
  name: "database_group",
  needs: [],
  create({ settings }) {
    const authority = settings.upstreamAuthority;
    return new PostgresDatabaseGroup({
      name: settings.name,
      address: settings.address,
      user: settings.upstreamUser,
      password: settings.upstreamPassword,
      ...(authority ? { ssl: { ca: readFileSync(authority) } } : {}),
    });
  },
});
