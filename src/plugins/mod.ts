/**
 * Imports all plug-ins of the proxy, which register themselves on import.
 *
 * @module
 */
import "./callers/plugin.ts";
import "./classification/plugin.ts";
import "./configuration/plugin.ts";
import "./connections/plugin.ts";
import "./failover/plugin.ts";
import "./health/plugin.ts";
import "./host_list/plugin.ts";
import "./ledger/plugin.ts";
import "./membership/plugin.ts";
import "./metrics/plugin.ts";
import "./object_store/plugin.ts";
import "./peers/plugin.ts";
import "./routing/plugin.ts";
import "./status/plugin.ts";
import "./table_service/plugin.ts";
import "./upstream/plugin.ts";
