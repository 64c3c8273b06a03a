/**
 * DOC: script - runs the steps of a session, one per line
 *
 *   at N                           advance the clock to N milliseconds
 *   # TEXT                         a comment, copied into the transcript
 *   start NAME [SERVICE]           start an agent of SERVICE, or a balancer
 *   settle N                       run N seconds unlogged, then reset the time
 *   packet A > B WHAT via NAME     SYN, ACK, RST, "a request" or again
 *   kill NAME, freeze NAME, thaw NAME, drain NAME, undrain NAME
 *   lose N KIND FROM TO            lose the next N matching messages
 *   delay N KIND FROM TO MS        delay them by MS milliseconds
 *   heal                           remove all rules of lose and delay
 *   hold NAME, release NAME        its upstream waits for upstream-end, or not
 *   upstream-end NAME ID HOW
 *   outage on|off                  make the platform fail or recover
 *   publish OPERATOR FILE          (operators a and b)
 *   show                           log the state of each process
 */
#ifndef SWIFTARCH_TESTS_GOLDEN_SCRIPT_H
#define SWIFTARCH_TESTS_GOLDEN_SCRIPT_H

/** script_play() - run a session and return its transcript, to be freed with
 * g_free(); configs to publish are read from @folder */
char *
script_play(const char *script, const char *folder);

#endif
