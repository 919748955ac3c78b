/** Separates the machine of a successor from its number. @internal */
export const SUCCESSOR_MARK = '~';

/**
 * Machine of a node. An instance that succeeds another one at its address has a
 * new id and runs on the same machine.
 *
 * @internal
 */
export function getMachine(node: string): string {
  return node.split(SUCCESSOR_MARK)[0] ?? node;
}
