/** Number of keys; they are numbered from 0 (the platform's protocol). */
export const KEY_COUNT = 65_536;
