/** A string type that the compiler distinguishes from other strings by the kind of thing it identifies. */
export type Brand<Name extends string> = string & { readonly brand: Name; };
