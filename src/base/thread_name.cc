#include "src/base/thread_name.h"

#include <pthread.h>

#include <string>

namespace radishwing {

void NameThread(std::string_view name) {
  // Linux refuses thread names longer than 15 characters.
  pthread_setname_np(pthread_self(), std::string(name.substr(0, 15)).c_str());
}

}  // namespace radishwing
