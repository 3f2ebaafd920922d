/**
 * Registers the object store.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { S3Objects } from "./s3_objects.ts";

registerPlugin({
  name: "object_store",
  needs: [],
  create: ({ settings, log }) =>
    new S3Objects({
      url: settings.objectStore,
      bucket: settings.bucket,
      accessKey: settings.platformKey,
      secret: settings.platformSecret,
      address: settings.address,
      log,
    }),
});
