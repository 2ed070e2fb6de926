/** The deployments that are measured. */

import {z} from 'zod';

/** Names of the deployments. */
export const deploymentNameSchema = z.enum(['blue-mahoe', 'vanhecke']);

/** Name of a deployment. */
export type DeploymentName = z.infer<typeof deploymentNameSchema>;

/** What of a deployment matters to selection: the service of its quick look-ups. */
export interface Deployment {
  readonly name: DeploymentName;
  readonly service: string;
  readonly workers: number;
  readonly workersPerVm: number;
  readonly slots: number;
  readonly connections: number;
  readonly entries: number;
}

/** The deployments of today. */
export const DEPLOYMENTS: Readonly<Record<DeploymentName, Deployment>> = {
  'blue-mahoe': {
    name: 'blue-mahoe',
    service: 'catalogue',
    workers: 12,
    workersPerVm: 2,
    slots: 4,
    connections: 200,
    entries: 14,
  },
  vanhecke: {
    name: 'vanhecke',
    service: 'repair-status',
    workers: 16,
    workersPerVm: 2,
    slots: 3,
    connections: 250,
    entries: 14,
  },
};
