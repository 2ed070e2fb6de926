/** Not here yet. */

export {};
