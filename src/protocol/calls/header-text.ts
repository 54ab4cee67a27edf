/**
 * Text of a configuration as HTTP/1.1 carries it: header fields and request targets are bytes, which Node shows as one
 * character each (RFC 9110, 5.5). Text beyond ASCII is sent, and compared with what comes, in UTF-8.
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

export const headerText = { toWire, isSendable };
