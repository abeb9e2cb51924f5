// Plug-ins are installed and started in the order of these imports.
import "../platform/platformPlugin.js";
import "../peers/peersPlugin.js";
import "../configuration/configurationPlugin.js";
import "../hosts/hostsPlugin.js";
import "../ownership/ownershipPlugin.js";
import "../balance/balancePlugin.js";
import "../serving/servingPlugin.js";
import "../intents/intentsPlugin.js";
import "../monitor/monitorPlugin.js";
import "../operator/operatorPlugin.js";
import "../entry/entryPlugin.js";
import { plugins } from "./plugins.js";

/** Creates one instance of each registered plug-in. */
export function createPlugins() {
    return plugins.list().map(({ createPlugin: newPlugin }) => newPlugin());
}
