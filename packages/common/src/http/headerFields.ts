/** HTTP header fields by lower-case name. The value is a list where the field must not be joined with commas, such as `set-cookie`. */
export type HeaderFields = Readonly<Record<string, string | readonly string[]>>;
