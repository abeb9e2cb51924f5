/** Keys are numbered from 0 to one less than this (the platform's protocol). */
export const KEY_COUNT = 65_536;
