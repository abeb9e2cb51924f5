/** Faults of single messages; all are probabilities but the longest delay in ms. */
export type Disturbance = { loss: number; duplicate: number; late: number; longestDelay: number; };
