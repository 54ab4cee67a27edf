/**
 * Text of a configuration as HTTP/1.1 carries it: header fields and request targets are bytes, which Node shows as one
 * character each (RFC 9110, 5.5). Text beyond ASCII is sent, and compared with what comes, in UTF-8. In a request target
 * its bytes are percent-encoded (RFC 3987, 3.1), though some clients send them as they are.
 */

const ascii = /^\p{ASCII}*$/u;

/** No field value can hold a control character, and blanks around it are not a part of it. */
const unsendable = /\p{Cc}|^ | $/u;

/** The text's UTF-8 bytes, one character each. */
function toWire(text: string): string {
  return ascii.test(text) ? text : Buffer.from(text, 'utf8').toString('latin1');
}

/** Whether a header field can carry the text so that its receiver reads the same. */
function isSendable(text: string): boolean {
  return !unsendable.test(text);
}

/** A byte beyond ASCII in a request target, as it is or percent-encoded. */
const targetByteBeyondAscii = /[\u0080-\u00ff]|%[89a-f][0-9a-f]/gi;

/** The one form of a request target, or of a prefix, in which its bytes beyond ASCII are encoded, with upper-case digits. */
function encodedTarget(wireText: string): string {
  return wireText.replace(targetByteBeyondAscii, (byte) =>
    byte.length === 1 ? `%${byte.charCodeAt(0).toString(16).toUpperCase()}` : byte.toUpperCase(),
  );
}

/** Whether a text has no characters beyond ASCII. */
function isAscii(text: string): boolean {
  return ascii.test(text);
}

export const headerText = { toWire, isSendable, encodedTarget, isAscii };
