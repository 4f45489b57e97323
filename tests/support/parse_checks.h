// Checks shared by the tests of parsers of untrusted input: an error message names the fault, and a parser
// either returns a value or throws a ParseError.
#pragma once

#include <gtest/gtest.h>

#include <random>
#include <string>

#include "errors/parse_error.h"

namespace peargrade {

/// `parse()` throws a ParseError whose text contains `message`. `input` is printed if the check fails.
template <class Parse>
void expectParseError(const Parse& parse, const std::string& message, const std::string& input) {
  try {
    parse();
    ADD_FAILURE() << "accepted: " << input;
  } catch (const ParseError& error) {
    EXPECT_NE(std::string(error.what()).find(message), std::string::npos)
        << input << " -> " << error.what() << ", expected: " << message;
  }
}

/// How many random mutations of a valid text a parser accepted and rejected.
struct MutationOutcome {
  int accepted = 0;
  int rejected = 0;
};

/// Parses `rounds` mutations of `valid`, each with up to two random bytes replaced. Any exception other than
/// ParseError fails the test.
template <class Parse>
MutationOutcome parseMutations(const std::string& valid, unsigned seed, int rounds, const Parse& parse) {
  std::mt19937 random(seed);
  MutationOutcome outcome;
  for (int round = 0; round < rounds; ++round) {
    std::string text = valid;
    for (unsigned changes = random() % 3; changes > 0; --changes) {
      text[random() % text.size()] = static_cast<char>(random() % 256);
    }
    try {
      parse(text);
      ++outcome.accepted;
    } catch (const ParseError&) {
      ++outcome.rejected;
    }
  }
  return outcome;
}

}  // namespace peargrade
