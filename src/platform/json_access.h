#pragma once

#include <boost/json/value.hpp>
#include <exception>
#include <string>
#include <utility>

#include "src/base/result.h"
#include "src/platform/platform_link.h"

namespace radishwing::platform {

/// Turns an answer with status 200 into a value by means of `parse`, which may
/// throw what the JSON library throws; anything else into a failure.
template <typename T, typename Parse>
result<T> ReadAnswer(const result<platform_answer>& answer, Parse parse) {
  if (!Ok(answer)) return Error(answer);
  if (Value(answer).status != 200) return FailureOf(Value(answer));
  try {
    return parse(Value(answer).body);
  } catch (const std::exception& error) {
    return failure{
        failure_kind::kInternal,
        std::string("the platform's answer is malformed: ") + error.what()};
  }
}

/// A completion of the link that parses the answer first.
template <typename T, typename Parse, typename Completion>
platform_link::completion Reading(Parse parse, Completion completion) {
  return [parse,
          completion = std::move(completion)](result<platform_answer> answer) {
    completion(ReadAnswer<T>(answer, parse));
  };
}

}  // namespace radishwing::platform
