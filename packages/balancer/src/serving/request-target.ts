/** Request targets in absolute form, which servers must accept (RFC 9112, section 3.2.2). */

import type {IncomingMessage} from 'node:http';

/** Scheme, authority without user information, and the rest of a target in absolute form. */
const ABSOLUTE_FORM = /^https?:\/\/(?:[^/?#@]*@)?([^/?#@]+)(.*)$/i;

/** Rewrites a target in absolute form to origin form; its host replaces that of the `Host` header. */
export function toOriginForm(request: IncomingMessage): void {
  const {url = '/', headers} = request;
  const [, host, rest] = ABSOLUTE_FORM.exec(url) ?? [];
  if (host !== undefined) {
    headers.host = host;
    request.url = rest.startsWith('/') ? rest : `/${rest}`;
  }
}
