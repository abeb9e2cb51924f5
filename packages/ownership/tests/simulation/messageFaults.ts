/** Faults of single messages: probabilities, and the longest delay in ms. */
export type MessageFaults = { loss: number; duplicate: number; late: number; longestDelay: number; };
