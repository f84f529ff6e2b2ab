// Splits the text of statements into words and separators with their positions.

#ifndef CAMPHORCLEAT_FLEET_TOKENS_H_
#define CAMPHORCLEAT_FLEET_TOKENS_H_

#include <string>
#include <vector>

#include "base/Errors.h"

namespace camphorcleat::fleet {

/// A statement that does not follow the grammar.
struct SyntaxProblem
{
  static constexpr ErrorCode kCode = ErrorCode::SyntaxError;
  std::size_t line = 1;   ///< Counted from 1.
  std::size_t column = 1; ///< Counted from 1, in bytes.
  std::string found;    ///< The word at the position; "(hidden)" where it could be an account key.
  std::string expected; ///< What could stand there, such as "'keyed' or 'unkeyed'".
  std::string nearest;  ///< The expected word that is most like the found one; may be empty.
  /// "line 1, column 8: found 'servic', expected ...; did you mean 'service'?".
  std::string message() const;
};

struct Token
{
  std::string text;         ///< Without quotes and escapes.
  bool isSeparator = false; ///< A newline or ';'.
  bool isQuoted = false;    ///< Quoted words are never keywords.
  std::size_t line = 1;
  std::size_t column = 1;
  std::size_t beginByte = 0; ///< Position in the text, quotes included.
  std::size_t endByte = 0;
};

/// The words of a text. A word is a run without blanks, ';' and '"', or is quoted: "a b", with \"
/// and \\ inside. '#' at the beginning of a word begins a comment that ends with the line. Fails
/// with SyntaxProblem if a quoted word has no end. Thread-safe.
Result<std::vector<Token>> splitTokens(const std::string& aText);

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_TOKENS_H_
