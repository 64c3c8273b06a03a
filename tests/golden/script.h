/**
 * DOC: script - a session's steps, one a line
 *
 *   at N ms|s                      let time pass until then
 *   # TEXT                         a note, copied into the transcript
 *   start NAME [SERVICE]           a process begins; agents name a service
 *   settle N                       N silent seconds; time starts again at 0
 *   packet A > B WHAT via NAME     SYN, ACK, RST, "a request" or again
 *   kill NAME, freeze NAME, thaw NAME, drain NAME, undrain NAME
 *   lose N KIND FROM TO            the next N such messages get lost
 *   delay N KIND FROM TO MS        they arrive late
 *   heal                           forget lose and delay
 *   hold NAME, release NAME        its upstream answers by hand only, or not
 *   upstream-end NAME ID HOW
 *   outage on|off                  of the platform
 *   publish OPERATOR FILE          (operators a and b)
 *   show                           what each process has and sees
 */
#ifndef SWIFTARCH_TESTS_GOLDEN_SCRIPT_H
#define SWIFTARCH_TESTS_GOLDEN_SCRIPT_H

/** script_play() - transcript of a session; g_free() it. @folder is where
 * texts are read from. */
char *
script_play(const char *script, const char *folder);

#endif
