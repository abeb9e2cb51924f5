/** A fault of a host or a server, by its name: what it sends or takes up meanwhile may be late. Times are wall-clock times in ms. */
export type Disruption = { readonly name: string; readonly from: number; readonly until: number; };
