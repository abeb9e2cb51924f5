/** Details of a log line. Values are printed as they are, so secrets never go in. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;
