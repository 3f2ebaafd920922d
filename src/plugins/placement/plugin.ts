/**
 * Registers the service that chooses instances for reads.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { ReadPlacement } from "./read_placement.ts";

declare module "../../kernel/kernel.ts" {
  interface Services {
    placement: ReadPlacement;
  }
}

registerPlugin({
  name: "placement",
  needs: ["place", "directory", "pools"],
  create: ({ use }) =>
    new ReadPlacement(use("directory"), use("pools"), use("place")),
});
