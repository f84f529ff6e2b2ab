// Boost.Spirit X3 parses the words; Grammar.cc matches statements. An X3 grammar of the whole
// language would take long to compile and could not list what was expected.

#include "fleet/Tokens.h"

#include <algorithm>

#include <boost/spirit/home/x3.hpp>

namespace camphorcleat::fleet {

namespace {

namespace x3 = boost::spirit::x3;
using Position = std::string::const_iterator;

const auto kComment = x3::lit('#') >> *(x3::char_ - '\n');
const auto kBlanks = *(x3::omit[x3::char_(" \t\r")] | kComment);
const auto kSeparator = x3::char_("\n;");
const auto kBare = +(x3::char_ - x3::char_(" \t\r\n;\""));
const auto kEscaped = x3::lit('\\') >> x3::char_("\"\\");
const auto kQuoted = x3::lit('"') >> *(kEscaped | (x3::char_ - x3::char_("\"\n"))) >> x3::lit('"');

void setPosition(const std::string& aText, Position aAt, Token& aToken)
{
  const auto lineBegin = std::find(std::make_reverse_iterator(aAt), aText.rend(), '\n').base();
  aToken.line = 1 + static_cast<std::size_t>(std::count(aText.begin(), lineBegin, '\n'));
  aToken.column = 1 + static_cast<std::size_t>(aAt - lineBegin);
  aToken.beginByte = static_cast<std::size_t>(aAt - aText.begin());
}

// The message omits the text after the quote, because it may be a secret.
SyntaxProblem unterminatedQuote(const Token& aToken)
{
  return { aToken.line, aToken.column, "\"", "a closing '\"' on the same line", "" };
}

} // namespace

std::string SyntaxProblem::message() const
{
  std::string out = "line " + std::to_string(line) + ", column " + std::to_string(column) +
                    ": found " + (found.empty() ? "the end of the statement" : "'" + found + "'") +
                    ", expected " + expected;
  return nearest.empty() ? out : out + "; did you mean '" + nearest + "'?";
}

Result<std::vector<Token>> splitTokens(const std::string& aText)
{
  std::vector<Token> out;
  Position it = aText.begin();
  while (x3::parse(it, aText.end(), kBlanks) && it != aText.end()) {
    Token token;
    setPosition(aText, it, token);
    char separator = 0;
    if (x3::parse(it, aText.end(), kSeparator, separator)) {
      token.isSeparator = true;
    } else if (x3::parse(it, aText.end(), kQuoted, token.text)) {
      token.isQuoted = true;
    } else if (token.text.clear(); !x3::parse(it, aText.end(), kBare, token.text)) {
      return fail(unterminatedQuote(token));
    }
    token.endByte = static_cast<std::size_t>(it - aText.begin());
    out.push_back(std::move(token));
  }
  return out;
}

} // namespace camphorcleat::fleet
