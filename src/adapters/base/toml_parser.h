#pragma once

// toml++ 3.3 asserts in debug builds that a table header starts with a key character, although its parser
// then reports any other character as an error; "[#" in a file would abort the process. Every file that
// parses TOML includes this header, so that all of them use the same definition.
#ifndef TOML_ASSERT
#define TOML_ASSERT(expr) static_assert(true)
#endif

#include <toml++/toml.h>
