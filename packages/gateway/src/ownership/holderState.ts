/**
 * What is known of a life of a server: `live`; `leaving` (it announced its end, or its entry is gone, and may still hold keys);
 * `dead` (proved to have ended).
 */
export type HolderState = "live" | "leaving" | "dead";
