import {createHash} from 'node:crypto';

declare const digestBrand: unique symbol;

/**
 * SHA-256 digest of an API key, in base64url. The proxy keeps, compares and
 * sends to other proxies only digests, so no key can leak from its memory dumps,
 * logs or messages. API keys are long and random, so a digest without a salt
 * does not reveal them.
 *
 * @public
 */
export type ApiKeyDigest = string & {readonly [digestBrand]: true};

const DIGEST_PATTERN = /^[\w-]{43}$/;

/** Computes the digest of an API key. @public */
export function digestApiKey(apiKey: string): ApiKeyDigest {
  return createHash('sha256')
    .update(apiKey, 'utf8')
    .digest('base64url') as ApiKeyDigest;
}

/** Whether a text has the format of a digest. @public */
export function isApiKeyDigest(text: string): text is ApiKeyDigest {
  return DIGEST_PATTERN.test(text);
}
