/**
 * DOC: text_check - every rule for a text, applied in one pass
 */
#ifndef SWIFTARCH_TEXT_TEXT_CHECK_H
#define SWIFTARCH_TEXT_TEXT_CHECK_H

#include "text/text_types.h"
#include "text/text_fault.h"
#include "text/text_index.h"

/**
 * text_check_services() - read the services of a parsed text
 * @root: the text as json-c read it
 * @index: positions in the same source
 * @faults: gets every fault
 * @text: gets services and count
 *
 * Return: 0 or -ENOMEM. Whether the text is good is told by @faults.
 */
int
text_check_services(struct json_object *root, const struct text_index *index,
                    struct text_faults *faults, struct text *text);

/**
 * text_check_retired() - read the list of retired addresses
 * @list: the list as json-c read it; @index: positions in the same source
 * @text: has its services; gets retired and retired_count
 *
 * Return: 0 or -ENOMEM. Whether the list is good is told by @faults.
 */
int
text_check_retired(struct json_object *list, const struct text_index *index,
                   struct text_faults *faults, struct text *text);

/**
 * text_check_depends() - resolve "depends_on" and look for cycles
 * @services: list of services as json-c read it, one for each of @text
 * @node: handle of that list
 */
void
text_check_depends(struct json_object *services,
                   const struct text_index *index, uint32_t node,
                   struct text_faults *faults, struct text *text);

#endif
