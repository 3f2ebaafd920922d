/**
 * Base class of the commands that access the platform's services: their settings
 * and clients.
 *
 * @module
 */
import { Option } from "clipanion";
import type { Result } from "neverthrow";
import { createEventLog } from "../kernel/events.ts";
import type { Failure } from "../kernel/result_codes.ts";
import { checkSettings, settingsSchema } from "../kernel/settings.ts";
import { Revisions } from "../plugins/document/revisions.ts";
import { S3ObjectStore } from "../plugins/object_store/s3_object_store.ts";
import { DynamoTable } from "../plugins/table_service/dynamo_table.ts";
import { ReportCommand } from "./operator_command.ts";

const platformSettingsSchema = settingsSchema.pick({
  tableService: true,
  table: true,
  objectStore: true,
  bucket: true,
  platformKey: true,
  platformSecret: true,
});

/** A command that reads or changes accepted documents. */
export abstract class PlatformCommand extends ReportCommand {
  tableService = Option.String("--table-service", {
    description: "URL of the table service",
  });
  table = Option.String("--table", {
    description: "Table that holds the revision heads and the group records",
  });
  objectStore = Option.String("--object-store", {
    description: "URL of the object store",
  });
  bucket = Option.String("--bucket", {
    description: "Bucket that holds the document's revisions",
  });
  platformKey = Option.String("--platform-key", {
    description: "Access key of the platform",
  });
  platformSecret = Option.String("--platform-secret", {
    description: "Secret of the platform",
  });

  /** Calls `work` with the accepted documents and closes the clients afterwards; fails with SETTING_INVALID on invalid settings. */
  protected async withRevisions(
    work: (revisions: Revisions) => PromiseLike<Result<string, Failure>>,
  ): Promise<Result<string, Failure>> {
    const { tableService, table, objectStore, bucket } = this;
    const { platformKey, platformSecret } = this;
    const flags = {
      tableService,
      table,
      objectStore,
      bucket,
      platformKey,
      platformSecret,
    };
    const checked = checkSettings(platformSettingsSchema, flags, process.env);
    if (checked.isErr()) return checked.map(() => "");
    const settings = checked.value;
    const access = {
      accessKey: settings.platformKey,
      secret: settings.platformSecret,
      log: createEventLog("fatal", {}),
    };
    const tableClient = new DynamoTable({
      ...access,
      url: settings.tableService,
      table: settings.table,
    });
    const objects = new S3ObjectStore({
      ...access,
      url: settings.objectStore,
      bucket: settings.bucket,
    });
    try {
      return await work(new Revisions({ table: tableClient, objects }));
    } finally {
      await Promise.all([tableClient.stop(), objects.stop()]);
    }
  }
}
