#ifndef MONSOON_TESTS_SUPPORT_BROKENFIELDS_H
#define MONSOON_TESTS_SUPPORT_BROKENFIELDS_H

#include <array>
#include <string>

namespace monsoon {

/// Lines of a message's head that are no field: the name is empty, holds a
/// blank or a control byte or is followed by one, or the line has no colon.
inline const std::array<std::string, 13> BrokenFieldLines = {
    "X Field: 1",
    "X-Field : 1",
    "Content-Length : 1",
    "Transfer-Encoding : chunked",
    "Content Length: 1",
    "X\tField: 1",
    "X-Field\t: 1",
    "X\x01"
    "Field: 1",
    std::string("X\0Field: 1", 10),
    "X\x7f"
    "Field: 1",
    "X\xe9"
    "Field: 1",
    ": 1",
    "X-Field"};

} // namespace monsoon

#endif
