/**
 * Registers the request ledger.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { TableLedger } from "./table_ledger.ts";

registerPlugin({
  name: "ledger",
  needs: [],
  create: () => new TableLedger(),
});
