#include <iostream>

#include "wirehost/host.h"

int main() {
  std::ios::sync_with_stdio(false);
  return peargrade::wirehost::serve(std::cin, std::cout, std::cerr);
}
