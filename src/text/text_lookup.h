/**
 * DOC: text_lookup - services of a checked text, by id, name and address
 */
#ifndef SWIFTARCH_TEXT_TEXT_LOOKUP_H
#define SWIFTARCH_TEXT_TEXT_LOOKUP_H

#include "text/text_types.h"

/** text_lookup_build() - make the table behind text_find() and
 * text_find_addr() once the services stand; 0 or -ENOMEM */
int
text_lookup_build(struct text *text);

/** text_class_name() - word of a class in the text */
const char *text_class_name(enum text_class class);

/** text_proto_name() - word of a transport in the text */
const char *
text_proto_name(enum text_proto proto);

/** text_find_name() - service by name or NULL */
const struct text_service *
text_find_name(const struct text *text, const char *name);

/** text_find() - service by id or NULL */
const struct text_service *
text_find(const struct text *text, uint32_t id);

/** text_find_served() - service by id, or, when the text has none, as it was
 * when its address was retired; NULL when neither is known */
const struct text_service *
text_find_served(const struct text *text, uint32_t id);

/** text_find_retired() - retired address or NULL */
const struct text_retired *
text_find_retired(const struct text *text, uint32_t ip, uint16_t port,
                  enum text_proto proto);

/** text_find_addr() - service at an address, port and transport or NULL */
const struct text_service *
text_find_addr(const struct text *text, uint32_t ip, uint16_t port,
               enum text_proto proto);

#endif
