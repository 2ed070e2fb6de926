/** Requests as a scripted worker reads them. */

/** A request as the worker read it. */
export interface WorkerRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

/** Parses the head of a request. */
export function parseHead(head: string): Omit<WorkerRequest, 'body'> {
  const [line, ...fields] = head.split('\r\n');
  const [method, path] = line.split(' ');
  const headers = new Map(
    fields.map(field => {
      const at = field.indexOf(':');
      return [
        field.slice(0, at).toLowerCase(),
        field.slice(at + 1).trim(),
      ] as const;
    }),
  );
  return {method, path, headers};
}
