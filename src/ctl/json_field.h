#pragma once

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace radishwing::ctl {

/// The member `name` of a JSON object, or null if there is none.
const boost::json::value* FindField(const boost::json::value& value,
                                    std::string_view name);

/// The member as text; empty if it is absent or no text.
std::string TextField(const boost::json::value& value, std::string_view name);

/// The member as a number that is not negative; 0 if it is absent or no such
/// number.
std::uint64_t CountField(const boost::json::value& value,
                         std::string_view name);

/// The member as a list; empty if it is absent or no list.
boost::json::array ListField(const boost::json::value& value,
                             std::string_view name);

}  // namespace radishwing::ctl
