/**
 * Marks the default case of a switch over a discriminated union. The call does
 * not compile while a variant is unhandled. At run time it throws for a value
 * outside the union.
 *
 * @public
 */
export function exhaustiveSwitchError(value: never): never {
  throw new Error(`Unhandled variant: ${JSON.stringify(value)}`);
}
