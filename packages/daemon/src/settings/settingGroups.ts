import { BackendTrafficSettings, ServerOrdersSettings } from "@arbutusdoor/clients";
import { ConfigurationSettings } from "@arbutusdoor/configuration";
import { MeshSettings } from "@arbutusdoor/mesh";
import { OwnershipSettings } from "@arbutusdoor/ownership";
import {
    MovePlanSettings,
    PoolPickerSettings,
    RetryBudgetSettings,
    ServerQueueSettings,
    SliceLoadSettings,
} from "@arbutusdoor/policy";
import { BalanceSettings } from "../balance/balanceSettings.js";
import { IntentSettings } from "../intents/intentSettings.js";
import { OperatorSettings } from "../operator/operatorSettings.js";

/** Settings of the daemon's parts; a setting's flag starts with the name of its group. */
export const SETTING_GROUPS = {
    ownership: OwnershipSettings,
    mesh: MeshSettings,
    configuration: ConfigurationSettings.omit({ isPoller: true, pollIntervalMs: true }),
    balance: BalanceSettings,
    load: SliceLoadSettings,
    plan: MovePlanSettings,
    queue: ServerQueueSettings,
    pool: PoolPickerSettings,
    retry: RetryBudgetSettings,
    backend: BackendTrafficSettings.omit({ host: true }),
    orders: ServerOrdersSettings,
    intent: IntentSettings,
    operator: OperatorSettings.omit({ address: true, port: true }),
} as const;
