#pragma once

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace radishwing::ctl {

/// Returns the member `name` of a JSON object, or null if there is none.
const boost::json::value* FindField(const boost::json::value& value,
                                    std::string_view name);

/// Returns the member as a string, or an empty string if it is absent or not a
/// string.
std::string StringField(const boost::json::value& value, std::string_view name);

/// Returns the member as an unsigned integer, or 0 if it is absent or not
/// representable as one.
std::uint64_t UnsignedField(const boost::json::value& value,
                            std::string_view name);

/// Returns the member as an array, or an empty array if it is absent or not an
/// array.
boost::json::array ArrayField(const boost::json::value& value,
                              std::string_view name);

}  // namespace radishwing::ctl
