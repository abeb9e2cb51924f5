/** HTTP header fields by lower-case name. A list stands for a field that must not be joined by commas, such as `set-cookie`. */
export type HeaderFields = Readonly<Record<string, string | readonly string[]>>;
