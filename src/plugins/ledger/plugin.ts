/**
 * Registers the request ledger and its periodic purge.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { LedgerPurge } from "./ledger_purge.ts";
import { TableLedger } from "./table_ledger.ts";

declare module "../../kernel/kernel.ts" {
  interface Services {
    ledger_purge: LedgerPurge;
  }
}

registerPlugin({
  name: "ledger",
  needs: [],
  create: () => new TableLedger(),
});

registerPlugin({
  name: "ledger_purge",
  needs: ["configuration", "connections", "health", "membership", "ledger"],
  create: ({ settings, log, use }) =>
    new LedgerPurge({
      log,
      name: settings.name,
      configuration: use("configuration"),
      connections: use("connections"),
      health: use("health"),
      membership: use("membership"),
      ledger: use("ledger"),
    }),
});
