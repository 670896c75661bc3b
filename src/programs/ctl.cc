#include <iostream>

#include "src/ctl/app.h"

int main(int argc, char** argv) {
  radishwing::ctl::app_environment environment;
  environment.out = &std::cout;
  environment.err = &std::cerr;
  environment.open_store = radishwing::ctl::MakeStoreReader;
  return radishwing::ctl::RunApp({argv + 1, argv + argc}, environment);
}
