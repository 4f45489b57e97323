#include <iostream>

#include "simulator/host.h"

int main() {
  std::ios::sync_with_stdio(false);
  return peargrade::simulator::serve(std::cin, std::cout, std::cerr);
}
