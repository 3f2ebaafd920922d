/**
 * Registers the listener for callers.
 *
 * @module
 */
import { registerPlugin } from "../../kernel/kernel.ts";
import { createCallerCertificate } from "./caller_certificate.ts";
import { CallerListener } from "./caller_listener.ts";

declare module "../../kernel/kernel.ts" {
  interface Services {
    callers: CallerListener;
  }
}

registerPlugin({
  name: "callers",
  needs: [
    "configuration",
    "health",
    "routing",
    "connections",
    "classification",
    "ledger",
    "metrics",
  ],
  create: (context) =>
    new CallerListener(context.settings, {
      log: context.log,
      metrics: context.use("metrics"),
      configuration: context.use("configuration"),
      health: context.use("health"),
      routing: context.use("routing"),
      connections: context.use("connections"),
      classifier: context.use("classification"),
      ledger: context.use("ledger"),
    }, createCallerCertificate(context.settings, context.log)),
});
