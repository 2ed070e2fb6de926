/** The TCP link stand-in: `main.js --settings FILE`. `GET /links` tells counts, `POST /change` changes links. */

import fastify from 'fastify';
import {listenForControl, printReady, readSettings} from '../process.js';
import {Link} from './link.js';
import {linkChangeSchema, linksSettingsSchema} from './settings.js';

const settings = readSettings(linksSettingsSchema);
const links = settings.links.map(link => new Link(link));
const addresses = await Promise.all(links.map(link => link.listen()));
const control = fastify();
control.get('/links', () => describe());
control.post('/change', (request, reply) => {
  const change = linkChangeSchema.safeParse(request.body);
  if (!change.success) {
    return reply.status(400).send({issues: change.error.issues});
  }
  const {links: names, ...state} = change.data;
  for (const link of links) {
    if (names === undefined || names.includes(link.settings.name)) {
      link.change(state);
    }
  }
  return {};
});
const address = await listenForControl(control, settings.control);
printReady({control: address, ...describe()});

function describe(): object {
  return {
    links: links.map((link, index) => ({
      name: link.settings.name,
      address: addresses[index],
      counts: link.counts,
    })),
  };
}
