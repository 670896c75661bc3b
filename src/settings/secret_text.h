#pragma once

#include <string>
#include <utility>

namespace radishwing::settings {

/// A secret. It has no output operator and no conversion, so that it does not
/// get into a log or an error by accident.
class secret_text {
 public:
  secret_text() = default;
  explicit secret_text(std::string value) : value_(std::move(value)) {}

  /// The secret itself. Only for authentication.
  const std::string& Reveal() const { return value_; }

 private:
  std::string value_;
};

}  // namespace radishwing::settings
