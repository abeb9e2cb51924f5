/** A violation of a guarantee. */
export type Violation = { readonly time: number; readonly text: string; };
