/**
 * Registers the peers plug-in.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { TrpcPeers } from "./trpc_peers.ts";

registerPlugin({
  name: "peers",
  needs: [],
  create: ({ settings, log }) => new TrpcPeers(settings, log),
});
