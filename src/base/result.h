#pragma once

#include <utility>
#include <variant>

#include "src/base/failure.h"

namespace radishwing {

/// Either a value or the failure that prevented it.
template <typename T>
using result = std::variant<T, failure>;

/// The value of an operation that only succeeds or fails.
using done = std::monostate;

/// True if `r` holds a value.
template <typename T>
bool Ok(const result<T>& r) {
  return r.index() == 0;
}

/// The value in `r`. Requires Ok(r).
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

/// The failure in `r`. Requires !Ok(r).
template <typename T>
const failure& Error(const result<T>& r) {
  return std::get<1>(r);
}

}  // namespace radishwing
