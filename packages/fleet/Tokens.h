// Tokenizes statements into words and separators with their positions.

#ifndef CAMPHORCLEAT_FLEET_TOKENS_H_
#define CAMPHORCLEAT_FLEET_TOKENS_H_

#include <string>
#include <vector>

#include "base/Errors.h"

namespace camphorcleat::fleet {

/// Error: a statement does not match the grammar.
struct SyntaxProblem
{
  static constexpr ErrorCode kCode = ErrorCode::SyntaxError;
  std::size_t line = 1;   ///< Counted from 1.
  std::size_t column = 1; ///< Counted from 1, in bytes.
  std::string found;    ///< The word at the position; "(hidden)" where it could be an account key.
  std::string expected; ///< What is valid there, such as "'keyed' or 'unkeyed'".
  std::string nearest;  ///< The expected keyword most similar to the found word, or empty.
  /// Returns "line 1, column 8: found 'servic', expected ...; did you mean 'service'?".
  std::string message() const;
};

struct Token
{
  std::string text;         ///< Without quotes and escapes.
  bool isSeparator = false; ///< A newline or ';'.
  bool isQuoted = false;    ///< A quoted word is never a keyword.
  std::size_t line = 1;
  std::size_t column = 1;
  std::size_t beginByte = 0; ///< Position in the text, quotes included.
  std::size_t endByte = 0;
};

/// Splits a text into tokens. A word is a sequence without blanks, ';' and '"', or a quoted string
/// such as "a b" with the escapes \" and \\. '#' at the start of a word starts a comment until the
/// end of the line. Fails with SyntaxProblem if a closing quote is missing. Thread-safe.
Result<std::vector<Token>> splitTokens(const std::string& aText);

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_TOKENS_H_
