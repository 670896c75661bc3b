#include "tests/control/test_network.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <list>
#include <map>
#include <set>
#include <thread>

#include "src/http/address.h"

namespace radishwing::control {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

}  // namespace

struct test_network::impl {
  struct connection;
  struct forwarder {
    std::string host;
    std::unique_ptr<tcp::acceptor> acceptor;
    tcp::endpoint target;
  };
  struct connection : std::enable_shared_from_this<connection> {
    connection(impl& n, tcp::socket c, std::string to)
        : network(n), caller(std::move(c)), callee(n.io), callee_host(to) {}

    void Start(tcp::endpoint target) {
      callee.async_connect(target, [self = shared_from_this()](auto error) {
        if (error) return self->Close();
        self->Pump(self->caller, self->callee, self->from_caller, true);
        self->Pump(self->callee, self->caller, self->from_callee, false);
      });
    }

    void Pump(tcp::socket& from, tcp::socket& to, std::array<char, 8192>& data,
              bool is_caller) {
      from.async_read_some(
          asio::buffer(data), [self = shared_from_this(), &from, &to, &data,
                               is_caller](auto error, std::size_t size) {
            if (error) return self->Close();
            if (is_caller) self->Recognise({data.data(), size});
            if (self->Silent()) {
              return self->Pump(from, to, data, is_caller);
            }
            asio::async_write(to, asio::buffer(data, size),
                              [self, &from, &to, &data, is_caller](
                                  auto write_error, std::size_t) {
                                if (write_error) return self->Close();
                                self->Pump(from, to, data, is_caller);
                              });
          });
    }

    void Recognise(std::string_view bytes) {
      if (!caller_host.empty()) return;
      for (const auto& [host, f] : network.forwarders) {
        if (host != callee_host && bytes.find(host) != bytes.npos) {
          caller_host = host;
        }
      }
    }

    bool Silent() {
      silent = silent || network.isolated.contains(callee_host) ||
               network.isolated.contains(caller_host);
      return silent;
    }

    void Close() {
      // A host that is cut off does not see either that the other end closes.
      if (Silent()) return;
      boost::system::error_code ignored;
      caller.close(ignored);
      callee.close(ignored);
    }

    impl& network;
    tcp::socket caller;
    tcp::socket callee;
    std::string callee_host;
    std::string caller_host;
    bool silent = false;
    std::array<char, 8192> from_caller;
    std::array<char, 8192> from_callee;
  };

  void Accept(forwarder& f) {
    f.acceptor->async_accept([this, &f](auto error, tcp::socket socket) {
      if (error) return;
      auto made =
          std::make_shared<connection>(*this, std::move(socket), f.host);
      connections.push_back(made);
      made->Start(f.target);
      Accept(f);
    });
  }

  void Run(std::function<void()> action) {
    std::promise<void> ended;
    asio::post(io, [&] {
      action();
      ended.set_value();
    });
    ended.get_future().wait();
  }

  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> work{
      io.get_executor()};
  std::map<std::string, forwarder> forwarders;
  std::set<std::string> isolated;
  std::list<std::shared_ptr<connection>> connections;
  std::thread thread;
};

test_network::test_network() : impl_(std::make_unique<impl>()) {
  impl_->thread = std::thread([this] { impl_->io.run(); });
}

test_network::~test_network() {
  impl_->io.stop();
  impl_->thread.join();
  impl_->connections.clear();
}

std::string test_network::Add(const std::string& host) {
  std::string address;
  impl_->Run([&] {
    impl::forwarder& f = impl_->forwarders[host];
    if (f.acceptor) {
      address = http::FormatAddress(f.acceptor->local_endpoint());
      return;
    }
    f.host = host;
    f.acceptor = std::make_unique<tcp::acceptor>(
        impl_->io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    address = http::FormatAddress(f.acceptor->local_endpoint());
    impl_->Accept(f);
  });
  return address;
}

void test_network::SetTarget(const std::string& host,
                             const std::string& address) {
  impl_->Run([&] {
    auto target = http::ParseAddress(address);
    impl_->forwarders[host].target = Value(target);
  });
}

void test_network::Isolate(const std::string& host) {
  impl_->Run([&] {
    impl_->isolated.insert(host);
    for (auto& c : impl_->connections) c->Silent();
  });
}

void test_network::Join(const std::string& host) {
  impl_->Run([&] { impl_->isolated.erase(host); });
}

void test_network::SilenceOpenConnections() {
  impl_->Run([&] {
    for (auto& c : impl_->connections) c->silent = true;
  });
}

}  // namespace radishwing::control
