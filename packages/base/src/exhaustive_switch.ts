/**
 * Ends a switch over a discriminated union. The compiler rejects the call
 * while a variant is left unhandled; at run time it throws for a value that
 * got past the compiler.
 *
 * @public
 */
export function exhaustiveSwitchError(value: never): never {
  throw new Error(`Unhandled variant: ${JSON.stringify(value)}`);
}
