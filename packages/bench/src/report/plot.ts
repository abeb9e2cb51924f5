/** A line plot: one line for each policy, x in seconds. */
export type Plot = {
    readonly title: string;
    readonly lines: readonly { readonly name: string; readonly points: readonly number[]; }[];
};
