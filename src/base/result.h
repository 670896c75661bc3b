#pragma once

#include <utility>
#include <variant>

#include "src/base/failure.h"

namespace radishwing {

/// Either a value or the failure of the operation that was to return it.
template <typename T>
using result = std::variant<T, failure>;

/// Value type `T` in the result of an operation that returns no value.
using success = std::monostate;

/// Returns true if `r` holds a value.
template <typename T>
bool Ok(const result<T>& r) {
  return r.index() == 0;
}

/// Returns the value in `r`. Requires Ok(r).
template <typename T>
T& Value(result<T>& r) {
  return std::get<0>(r);
}
template <typename T>
const T& Value(const result<T>& r) {
  return std::get<0>(r);
}
template <typename T>
T&& Value(result<T>&& r) {
  return std::get<0>(std::move(r));
}

/// Returns the failure in `r`. Requires !Ok(r).
template <typename T>
const failure& Error(const result<T>& r) {
  return std::get<1>(r);
}

}  // namespace radishwing
