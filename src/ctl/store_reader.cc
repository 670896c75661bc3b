#include "src/ctl/store_reader.h"

#include <memory>
#include <utility>

#include "platform/blocking_store_client.h"

namespace radishwing::ctl {

result<store_reader> MakeStoreReader(const std::string& address) {
  auto created = platform::blocking_store_client::Make(address);
  if (!Ok(created)) return Error(created);
  std::shared_ptr<platform::blocking_store_client> store =
      std::move(Value(created));
  store_reader reader;
  reader.get = [store](const std::string& key) { return store->Get(key); };
  reader.list = [store](const std::string& prefix) {
    return store->List(prefix);
  };
  return reader;
}

}  // namespace radishwing::ctl
