#include "src/node/store_watch.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <set>
#include <string_view>
#include <utility>

namespace radishwing::node {
namespace {

constexpr millis kRetryDelayMs = 200;
// Retry delay after the store aborted a pending watch call. It is short because
// keys may have changed in the meantime.
constexpr millis kAbortedWatchRetryDelayMs = 20;

}  // namespace

struct store_watch::impl : std::enable_shared_from_this<store_watch::impl> {
  impl(boost::asio::io_context& io, platform::store_client& store, clock clock,
       store_watch_options options, store_watch_hooks hooks)
      : store(store),
        now(std::move(clock)),
        options(std::move(options)),
        hooks(std::move(hooks)),
        timer(io) {}

  /// Reads the page of keys that follow `after`; an empty `after` starts a new
  /// read of all keys.
  void ReadPage(std::string after);
  /// Adds a page to `read_items`; after the last page, reports the snapshot and
  /// starts to watch.
  void AddPage(store::store_page& page);
  void Watch();
  void ReportChanges(const store::store_changes& changes, millis asked_at);
  static bool HasSupersededValue(const std::vector<store::store_item>& items);
  /// Calls `next` after `delay`, unless the watch is destroyed before.
  void CallAfter(millis delay, std::function<void()> next);
  /// Reports the failure of a read and repeats it after a delay. Pages that
  /// have been read stay valid, because the watch reports later changes.
  void RetryPage(const failure& problem, const std::string& after);
  /// Reports the failure of a watch call and repeats it after a delay.
  void RetryWatch(const failure& problem);

  platform::store_client& store;
  clock now;
  store_watch_options options;
  store_watch_hooks hooks;
  boost::asio::steady_timer timer;
  /// Items of the pages read so far.
  std::vector<store::store_item> read_items;
  /// Store revision after which the next watch call reports changes.
  std::uint64_t revision = 0;
  millis read_began_at = 0;   ///< Time when the newest read of all keys began.
  millis watch_began_at = 0;  ///< Send time of the newest watch call.
  bool stopped = false;       ///< True once the store_watch was destroyed.
};

void store_watch::impl::CallAfter(millis delay, std::function<void()> next) {
  timer.expires_after(std::chrono::milliseconds(delay));
  timer.async_wait([self = shared_from_this(),
                    next = std::move(next)](boost::system::error_code error) {
    if (!error && !self->stopped) next();
  });
}

void store_watch::impl::RetryPage(const failure& problem,
                                  const std::string& after) {
  if (hooks.failed) hooks.failed(problem);
  CallAfter(kRetryDelayMs, [this, after] { ReadPage(after); });
}

void store_watch::impl::RetryWatch(const failure& problem) {
  if (hooks.failed) hooks.failed(problem);
  const bool aborted = problem.kind == failure_kind::kTimeout &&
                       now.Now() - watch_began_at < options.wait_ms;
  CallAfter(aborted ? kAbortedWatchRetryDelayMs : kRetryDelayMs,
            [this] { Watch(); });
}

void store_watch::impl::ReadPage(std::string after) {
  const bool first_page = after.empty();
  if (first_page) {
    read_items.clear();
    read_began_at = now.Now();
  }
  store.ReadPage(options.prefix, after,
                 [self = shared_from_this(), first_page,
                  after](result<store::store_page> page) {
                   if (self->stopped) return;
                   if (!Ok(page)) return self->RetryPage(Error(page), after);
                   // The store may change between the pages, so the watch
                   // starts at the revision of the first page.
                   if (first_page) self->revision = Value(page).store_revision;
                   self->AddPage(Value(page));
                 });
}

void store_watch::impl::AddPage(store::store_page& page) {
  std::ranges::move(page.items, std::back_inserter(read_items));
  if (page.has_more && !read_items.empty()) {
    ReadPage(read_items.back().key);
    return;
  }
  const std::vector<store::store_item> all = std::exchange(read_items, {});
  hooks.snapshot(all);
  if (hooks.caught_up) hooks.caught_up(read_began_at);
  if (!stopped) Watch();
}

void store_watch::impl::Watch() {
  const millis asked_at = now.Now();
  watch_began_at = asked_at;
  store.Watch(options.prefix, revision, options.wait_ms,
              [self = shared_from_this(),
               asked_at](result<store::store_changes> changes) {
                if (self->stopped) return;
                if (!Ok(changes)) return self->RetryWatch(Error(changes));
                self->ReportChanges(Value(changes), asked_at);
              });
}

bool store_watch::impl::HasSupersededValue(
    const std::vector<store::store_item>& items) {
  std::set<std::string_view> keys;
  return std::ranges::any_of(items, [&](const store::store_item& item) {
    return !keys.insert(item.key).second;
  });
}

void store_watch::impl::ReportChanges(const store::store_changes& changes,
                                      millis asked_at) {
  if (changes.history_discarded) {
    if (hooks.history_lost) hooks.history_lost();
    return ReadPage("");
  }
  for (const store::store_item& item : changes.items) {
    hooks.change(item);
    if (stopped) return;
  }
  revision = std::max(revision, changes.store_revision);
  if (hooks.caught_up) hooks.caught_up(asked_at);
  if (stopped) return;
  if (options.skip_superseded_values && HasSupersededValue(changes.items)) {
    ReadPage("");
  } else if (options.gap_ms > 0) {
    CallAfter(options.gap_ms, [this] { Watch(); });
  } else {
    Watch();
  }
}

store_watch::store_watch(boost::asio::io_context& io,
                         platform::store_client& store, clock clock,
                         store_watch_options options, store_watch_hooks hooks)
    : impl_(std::make_shared<impl>(io, store, std::move(clock),
                                   std::move(options), std::move(hooks))) {
  impl_->ReadPage("");
}

store_watch::~store_watch() {
  impl_->stopped = true;
  impl_->timer.cancel();
}

}  // namespace radishwing::node
