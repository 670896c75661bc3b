#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "src/base/result.h"

namespace radishwing {

/// Reads the fields of a JSON object, such as a store record. The reader
/// remembers the first missing or mistyped field, so that callers check for
/// errors once, after the last field, instead of after each field.
class json_fields {
 public:
  /// Parses `text`. Fails with kInvalid if `text` is not one JSON object.
  /// `name` identifies the object in error messages.
  static result<json_fields> Parse(std::string_view name,
                                   std::string_view text);

  json_fields(std::string_view name, boost::json::object object);

  // The functions below return the field `key`. If the field is missing or
  // mistyped, they call Reject(key) and return an empty value, 0 or false.
  std::string String(std::string_view key);
  std::uint64_t Unsigned(std::string_view key);
  std::int64_t Signed(std::string_view key);
  bool Bool(std::string_view key);
  boost::json::object Object(std::string_view key);
  boost::json::array Array(std::string_view key);

  /// Returns true if the object has the field `key`, of any type.
  bool Contains(std::string_view key) const { return object_.contains(key); }

  /// Marks the object as invalid because of the field `key`. Only the first
  /// call has an effect.
  void Reject(std::string_view key);

  /// Returns true if no field has been rejected so far.
  bool Valid() const { return first_rejected_key_.empty(); }

  /// Returns a failure that names the first rejected field. Requires !Valid().
  failure Failure() const;

 private:
  /// Returns the value of `key`, or rejects `key` and returns null if the field
  /// is missing.
  const boost::json::value* FindOrReject(std::string_view key);

  std::string name_;  ///< Name of the object in error messages.
  boost::json::object object_;
  std::string first_rejected_key_;  ///< Empty if no field was rejected.
};

}  // namespace radishwing
