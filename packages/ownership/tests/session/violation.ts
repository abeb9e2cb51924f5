/** A promise that was broken. */
export type Violation = { readonly time: number; readonly text: string; };
