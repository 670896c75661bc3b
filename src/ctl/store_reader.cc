#include "src/ctl/store_reader.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "platform/store_client.h"

namespace radishwing::ctl {
namespace {

struct connection {
  boost::asio::io_context io;
  std::unique_ptr<platform::store_client> client;
};

template <typename T>
result<T> Wait(connection& link, std::optional<result<T>>& answer) {
  link.io.restart();
  while (!answer && link.io.run_one() > 0) {
  }
  if (answer) return std::move(*answer);
  return failure{failure_kind::kUnavailable, "the store gave no answer"};
}

}  // namespace

result<store_reader> MakeStoreReader(const std::string& address) {
  auto link = std::make_shared<connection>();
  auto made = platform::store_client::Make(
      link->io, address, nullptr,
      [](std::string_view, std::string_view, millis) {});
  if (!Ok(made)) return Error(made);
  link->client = std::move(Value(made));
  store_reader reader;
  reader.get = [link](const std::string& key) {
    std::optional<result<store::store_item>> answer;
    link->client->Get(
        key, [&](result<store::store_item> item) { answer = std::move(item); });
    return Wait(*link, answer);
  };
  reader.list =
      [link](
          const std::string& prefix) -> result<std::vector<store::store_item>> {
    std::vector<store::store_item> items;
    while (true) {
      std::optional<result<store::store_range>> answer;
      link->client->Range(
          prefix, items.empty() ? "" : items.back().key,
          [&](result<store::store_range> page) { answer = std::move(page); });
      auto page = Wait(*link, answer);
      if (!Ok(page)) return Error(page);
      for (auto& item : Value(page).items) items.push_back(std::move(item));
      if (!Value(page).has_more || Value(page).items.empty()) return items;
    }
  };
  return reader;
}

}  // namespace radishwing::ctl
