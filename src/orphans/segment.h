/**
 * DOC: segment - the segment that makes a caller show itself
 *
 * A SYN-ACK, as a server sends it again when it believes that the third
 * segment of the handshake was lost. A caller whose connection is open
 * answers a SYN with an acknowledgement, whatever its sequence number is,
 * and changes nothing (RFC 9293, 3.10.7.4; a challenge ACK). A bare ACK is
 * answered only where its number lies outside the caller's window, which
 * nobody but the dead owner knew: two of them would be needed.
 */
#ifndef SWIFTARCH_ORPHANS_SEGMENT_H
#define SWIFTARCH_ORPHANS_SEGMENT_H

#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

#define SEGMENT_PROBE_LEN 40

/**
 * segment_build_probe() - SYN-ACK from @service to @caller
 * @number: sequence and acknowledgement number; any will do
 * @buf: SEGMENT_PROBE_LEN bytes
 *
 * Return: its length.
 */
size_t
segment_build_probe(struct addr service, struct addr caller, uint32_t number,
                    uint8_t *buf);

#endif
