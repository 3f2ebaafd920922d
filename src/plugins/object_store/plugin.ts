/**
 * Registers the object store.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { S3ObjectStore } from "./s3_object_store.ts";

registerPlugin({
  name: "object_store",
  needs: [],
  create: ({ settings, log }) =>
    new S3ObjectStore({
      url: settings.objectStore,
      bucket: settings.bucket,
      accessKey: settings.platformKey,
      secret: settings.platformSecret,
      address: settings.address,
      log,
    }),
});
