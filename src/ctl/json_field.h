#pragma once

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace radishwing::ctl {

/// Returns the member `name` of `value`, or null if `value` is not a JSON
/// object or has no such member.
const boost::json::value* FindField(const boost::json::value& value,
                                    std::string_view name);

/// Returns the member `name` of `value`, or an empty string if it is absent or
/// not a string.
std::string StringField(const boost::json::value& value, std::string_view name);

/// Returns the member `name` of `value`, or 0 if it is absent or not
/// representable as an unsigned integer.
std::uint64_t UnsignedField(const boost::json::value& value,
                            std::string_view name);

/// Returns the member `name` of `value`, or an empty array if it is absent or
/// not an array.
boost::json::array ArrayField(const boost::json::value& value,
                              std::string_view name);

}  // namespace radishwing::ctl
