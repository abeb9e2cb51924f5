/** Faults of single messages; all are probabilities but the longest delay in ms. */
export type MessageFaults = { loss: number; duplicate: number; late: number; longestDelay: number; };
