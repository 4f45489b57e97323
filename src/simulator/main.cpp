#include <iostream>

#include "simulator/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  return peargrade::simulator::runAdapter(std::cin, std::cout, std::cerr);
}
