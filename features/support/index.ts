/** Shared by the steps. */

export {};
