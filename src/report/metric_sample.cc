#include "src/report/metric_sample.h"

#include <charconv>

namespace radishwing::report {
namespace {

/// Parses one line, `name{label="value",…} number [timestamp]`. Its functions
/// return false if the line is malformed.
class sample_line_parser {
 public:
  explicit sample_line_parser(std::string_view line) : rest_(line) {}

  bool Parse(metric_sample& sample) {
    sample.name = ConsumeUntil("{ ");
    if (sample.name.empty()) return false;
    if (Consume('{') && !ParseLabels(sample)) return false;
    while (Consume(' ')) {
    }
    return ParseNumber(sample.value);
  }

 private:
  bool Consume(char expected) {
    if (rest_.empty() || rest_.front() != expected) return false;
    rest_.remove_prefix(1);
    return true;
  }

  std::string ConsumeUntil(std::string_view delimiters) {
    const std::size_t end =
        std::min(rest_.find_first_of(delimiters), rest_.size());
    std::string word(rest_.substr(0, end));
    rest_.remove_prefix(end);
    return word;
  }

  bool ParseLabels(metric_sample& sample) {
    while (!Consume('}')) {
      const std::string label = ConsumeUntil("=\"}");
      std::string value;
      if (label.empty() || !Consume('=') || !ParseQuoted(value)) return false;
      sample.labels[label] = std::move(value);
      Consume(',');
    }
    return true;
  }

  bool ParseQuoted(std::string& value) {
    if (!Consume('"')) return false;
    while (!rest_.empty() && rest_.front() != '"') {
      char c = rest_.front();
      rest_.remove_prefix(1);
      if (c == '\\' && !rest_.empty()) {
        c = rest_.front() == 'n' ? '\n' : rest_.front();
        rest_.remove_prefix(1);
      }
      value += c;
    }
    return Consume('"');
  }

  bool ParseNumber(double& number) {
    const std::string word = ConsumeUntil(" ");
    if (word == "NaN" || word == "Nan") {
      number = 0;
      return true;
    }
    const std::string_view digits =
        word.starts_with('+') ? std::string_view(word).substr(1) : word;
    const auto end =
        std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return end.ec == std::errc() && end.ptr == digits.data() + digits.size();
  }

  std::string_view rest_;  ///< Part of the line that is not parsed yet.
};

}  // namespace

std::string_view metric_sample::LabelValue(std::string_view label) const {
  const auto found = labels.find(label);
  return found == labels.end() ? std::string_view() : found->second;
}

result<std::vector<metric_sample>> ParseMetricText(std::string_view text) {
  std::vector<metric_sample> samples;
  for (int number = 1; !text.empty(); ++number) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.empty() || line.front() == '#') continue;
    metric_sample sample;
    if (!sample_line_parser(line).Parse(sample)) {
      return failure{
          failure_kind::kInvalid,
          "metrics: line " + std::to_string(number) + " is malformed"};
    }
    samples.push_back(std::move(sample));
  }
  return samples;
}

}  // namespace radishwing::report
