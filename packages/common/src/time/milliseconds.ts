/** A time or a duration in milliseconds. Times of different clocks are not comparable. */
export type Milliseconds = number;
