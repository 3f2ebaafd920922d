/**
 * Loads the plug-ins that serve sessions whatever protocol the callers, the
 * instances and the store speak.
 *
 * @module
 */
import "./connections/upstream_plugin.ts";
import "./deployment/plugin.ts";
import "./leadership/plugin.ts";
import "./placement/plugin.ts";
import "./sessions/plugin.ts";
