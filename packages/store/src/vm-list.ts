/** The platform's list of VMs. It lags. */

import {hostSchema, type Finding, type Result} from '@wasabidyke/shared';
import {z} from 'zod';

/** One VM as the platform lists it. */
export const vmSchema = z.strictObject({
  name: z.string().min(1).max(128),
  /** IP address. */
  address: hostSchema,
  region: z.string().min(1).max(64),
  zone: z.string().min(1).max(64),
  /** What the VM is for; entries find each other among those for `entry`. */
  role: z.enum(['entry', 'upstream']),
  state: z.enum(['live', 'leaving']),
});

/** Most VMs of one list. */
const MAXIMUM_VMS = 10_000;

/** The list of VMs: `{"vms": [...]}`. */
export const vmListSchema = z.strictObject({
  vms: z.array(vmSchema).max(MAXIMUM_VMS),
});

/** The list of VMs with its rows unread, so that one bad row doesn't hide the others. */
export const vmListDocumentSchema = z.strictObject({
  vms: z.array(z.unknown()).max(MAXIMUM_VMS),
});

/** One VM as the platform lists it. */
export type Vm = z.infer<typeof vmSchema>;

/** Why the list could not be read. */
export interface VmListError {
  readonly kind: 'unreachable' | 'malformed';
  readonly message: string;
}

/** What a reading of the list gave. */
export interface VmListing {
  readonly vms: readonly Vm[];
  /** Rows that cannot be read, and names that stand twice; those rows are left out. */
  readonly findings: readonly Finding[];
}

/** Reads the platform's list of VMs. */
export abstract class VmList {
  /** The VMs that the platform lists now. */
  abstract read(): Promise<Result<VmListing, VmListError>>;

  /** Ends all connections. */
  abstract close(): Promise<void>;
}
