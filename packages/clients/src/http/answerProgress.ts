/** Counts the parts of an answer that have arrived: its head, chunks of its body and its end. */
export type AnswerProgress = { parts: number; };
