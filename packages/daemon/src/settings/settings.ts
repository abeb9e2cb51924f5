import type * as z from "zod";
import type { DaemonSettings } from "./daemonSettings.js";
import type { SETTING_GROUPS } from "./settingGroups.js";

type Groups = { readonly [Name in keyof typeof SETTING_GROUPS]: z.infer<(typeof SETTING_GROUPS)[Name]>; };

/** All settings of a daemon: its own and, grouped, those of its parts. */
export type Settings = DaemonSettings & { readonly groups: Groups; };
