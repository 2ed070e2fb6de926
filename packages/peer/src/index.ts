/** How entries talk to each other. */

export {};
