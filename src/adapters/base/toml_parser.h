#pragma once

// toml++ 3.3 asserts in debug builds that a table header starts with a key character, although its parser
// goes on to report the opposite as an error; "[#" in a file would end the process. Every file that parses
// TOML includes this header, so that all have the same definition.
#ifndef TOML_ASSERT
#define TOML_ASSERT(expr) static_assert(true)
#endif

#include <toml++/toml.h>
