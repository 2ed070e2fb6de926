/** The control port of the VM list stand-in. */

import fastify, {type FastifyInstance} from 'fastify';
import {z} from 'zod';
import {
  vmListDocumentSchema,
  vmListFaultsSchema,
  type VmListStandIn,
} from './vm-list-stand-in.js';

const namedSchema = z.strictObject({name: z.string()});

const propertiesSchema = z.looseObject({});

/**
 * Builds the control port:
 * `PUT /vms` sets the list, `PATCH /vms/<name>` changes or adds one row,
 * `DELETE /vms/<name>` removes it, and `PUT /faults` sets all faults anew.
 */
export function createVmListControl(list: VmListStandIn): FastifyInstance {
  const app = fastify();
  app.put('/vms', async request => {
    list.set(vmListDocumentSchema.parse(request.body).vms);
    return {};
  });
  app.patch('/vms/:name', async request => {
    const {name} = namedSchema.parse(request.params);
    list.change(name, propertiesSchema.parse(request.body));
    return {};
  });
  app.delete('/vms/:name', async request => {
    list.remove(namedSchema.parse(request.params).name);
    return {};
  });
  app.put('/faults', async request => {
    await list.setFaults(vmListFaultsSchema.parse(request.body));
    return {};
  });
  return app;
}
