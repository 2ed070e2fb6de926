/** The platform's list of VMs. It lags. */

import type {Result} from '@wasabidyke/shared';
import {z} from 'zod';

/** One VM as the platform lists it. */
export const vmSchema = z.strictObject({
  name: z.string().min(1).max(128),
  /** IP address. */
  address: z.string().min(1).max(64),
  region: z.string().min(1).max(64),
  zone: z.string().min(1).max(64),
  /** What the VM is for; entries find each other among those for `entry`. */
  role: z.enum(['entry', 'upstream']),
  state: z.enum(['live', 'leaving']),
});

/** The list of VMs: `{"vms": [...]}`. */
export const vmListSchema = z.strictObject({
  vms: z.array(vmSchema).max(10_000),
});

/** One VM as the platform lists it. */
export type Vm = z.infer<typeof vmSchema>;

/** Why the list could not be read. */
export interface VmListError {
  readonly kind: 'unreachable' | 'malformed';
  readonly message: string;
}

/** Reads the platform's list of VMs. */
export abstract class VmList {
  /** The VMs that the platform lists now. */
  abstract read(): Promise<Result<readonly Vm[], VmListError>>;

  /** Ends all connections. */
  abstract close(): Promise<void>;
}
