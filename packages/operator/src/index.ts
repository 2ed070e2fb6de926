/** The operators' interface of an entry. */

export {};
