/**
 * Imports the plug-ins that serve sessions independently of the protocols of the
 * callers, the instances and the store.
 *
 * @module
 */
import "./connections/upstream_plugin.ts";
import "./deployment/plugin.ts";
import "./forwarding/plugin.ts";
import "./leadership/plugin.ts";
import "./placement/plugin.ts";
import "./quotas/plugin.ts";
import "./sessions/plugin.ts";
