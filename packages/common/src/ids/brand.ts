/** A string that the compiler keeps apart from other strings by the name of what it identifies. */
export type Brand<Name extends string> = string & { readonly brand: Name; };
