/** How requests for pooled services are kept in their data centre: by a fixed factor on costs, or by the routes' target latency. */
export type SpillRule = "cost" | "target-latency";
