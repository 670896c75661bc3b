#include "src/report/metric_sample.h"

#include <charconv>

namespace radishwing::report {
namespace {

/// Reads one line, `name{label="value",…} number [timestamp]`.
class line_reader {
 public:
  explicit line_reader(std::string_view line) : rest_(line) {}

  bool Read(metric_sample& sample) {
    sample.name = Word("{ ");
    if (sample.name.empty()) return false;
    if (Take('{') && !ReadLabels(sample)) return false;
    while (Take(' ')) {
    }
    return ReadNumber(sample.value);
  }

 private:
  bool Take(char wanted) {
    if (rest_.empty() || rest_.front() != wanted) return false;
    rest_.remove_prefix(1);
    return true;
  }

  std::string Word(std::string_view ends) {
    const std::size_t end = std::min(rest_.find_first_of(ends), rest_.size());
    std::string word(rest_.substr(0, end));
    rest_.remove_prefix(end);
    return word;
  }

  bool ReadLabels(metric_sample& sample) {
    while (!Take('}')) {
      const std::string label = Word("=\"}");
      std::string value;
      if (label.empty() || !Take('=') || !ReadQuoted(value)) return false;
      sample.labels[label] = std::move(value);
      Take(',');
    }
    return true;
  }

  bool ReadQuoted(std::string& value) {
    if (!Take('"')) return false;
    while (!rest_.empty() && rest_.front() != '"') {
      char c = rest_.front();
      rest_.remove_prefix(1);
      if (c == '\\' && !rest_.empty()) {
        c = rest_.front() == 'n' ? '\n' : rest_.front();
        rest_.remove_prefix(1);
      }
      value += c;
    }
    return Take('"');
  }

  bool ReadNumber(double& number) {
    const std::string word = Word(" ");
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

  std::string_view rest_;
};

}  // namespace

std::string_view metric_sample::Label(std::string_view label) const {
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
    if (!line_reader(line).Read(sample)) {
      return failure{
          failure_kind::kInvalid,
          "metrics: line " + std::to_string(number) + " is malformed"};
    }
    samples.push_back(std::move(sample));
  }
  return samples;
}

}  // namespace radishwing::report
