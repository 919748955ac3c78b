/** Resolves after a time. @internal */
export function pause(delayMs: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, delayMs);
  });
}

const POLL_MS = 25;

/** Waits until a condition holds; returns whether it did in time. @internal */
export async function waitUntil(
  isMet: () => boolean | Promise<boolean>,
  timeoutMs: number,
): Promise<boolean> {
  const endMs = Date.now() + timeoutMs;
  while (Date.now() < endMs) {
    if (await isMet()) {
      return true;
    }
    await pause(POLL_MS);
  }
  return false;
}
