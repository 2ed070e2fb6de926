/** Statuses that an answer may have. Source: RFC 9110, section 15. */

const LOWEST_STATUS = 100;
const HIGHEST_STATUS = 599;

/** Why a status makes an answer invalid; undefined if it doesn't. */
export function findStatusFault(status: number): string | undefined {
  const isValid = status >= LOWEST_STATUS && status <= HIGHEST_STATUS;
  return isValid
    ? undefined
    : `the status ${status} is outside ${LOWEST_STATUS} to ${HIGHEST_STATUS}`;
}
