#include <iostream>

#include "src/ctl/app.h"

int main(int argc, char** argv) {
  radishwing::ctl::app_hooks hooks;
  hooks.out = &std::cout;
  hooks.err = &std::cerr;
  hooks.open_store = radishwing::ctl::MakeStoreReader;
  return radishwing::ctl::RunApp({argv + 1, argv + argc}, hooks);
}
