#include "src/report/app.h"

#include <iostream>

int main(int argc, char** argv) {
  return radishwing::report::RunReport({argv + 1, argv + argc}, std::cout,
                                       std::cerr);
}
