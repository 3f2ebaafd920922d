/**
 * Registers the table service.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { DynamoTable } from "./dynamo_table.ts";

registerPlugin({
  name: "table_service",
  needs: [],
  create: ({ settings, log }) =>
    new DynamoTable({
      url: settings.tableService,
      table: settings.table,
      accessKey: settings.platformKey,
      secret: settings.platformSecret,
      address: settings.address,
      log,
    }),
});
