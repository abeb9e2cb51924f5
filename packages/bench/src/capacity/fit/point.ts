/** A measured figure `y` at a size `x`. */
export type Point = { readonly x: number; readonly y: number; };
