// Matches the words against all rows of the table in parallel, so that an error can list everything
// that is valid at its position.

#include "fleet/Grammar.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <numeric>
#include <optional>

namespace camphorcleat::fleet {

namespace {

// Words of a "create key" statement from this index on may be account keys, also if a keyword is
// misspelt.
constexpr std::size_t kSecretWordIndex = 4;
// Keywords at a greater edit distance are not suggested, because the found word is unlikely to be a
// misspelling of them.
constexpr std::size_t kMaxSuggestionDistance = 2;

struct Element
{
  std::vector<std::string_view> words; // Keywords; empty for an argument.
  std::string_view argument;
  bool isOptional = false;
  bool isRepeated = false;
};

struct Row
{
  StatementKind kind;
  std::vector<Element> elements;
};

std::vector<std::string_view> split(std::string_view aText, char aAt)
{
  std::vector<std::string_view> out;
  while (!aText.empty()) {
    const std::size_t n = std::min(aText.find(aAt), aText.size());
    out.push_back(aText.substr(0, n));
    aText.remove_prefix(std::min(n + 1, aText.size()));
  }
  return out;
}

Row parseRow(const GrammarRow& aRow)
{
  Row out{ aRow.kind, {} };
  for (std::string_view word : split(aRow.syntax, ' ')) {
    if (word == "...") {
      out.elements.back().isRepeated = true;
      continue;
    }
    Element element;
    element.isOptional = word.front() == '[';
    if (element.isOptional) {
      word = word.substr(1, word.size() - 2);
    }
    if (std::isupper(static_cast<unsigned char>(word.front())) != 0) {
      element.argument = word;
    } else {
      element.words = split(word, '|');
    }
    out.elements.push_back(std::move(element));
  }
  return out;
}

const std::vector<Row>& parsedGrammar()
{
  static const std::vector<Row> sRows = [] {
    std::vector<Row> out;
    std::transform(grammar().begin(), grammar().end(), std::back_inserter(out), parseRow);
    return out;
  }();
  return sRows;
}

template<class N>
bool isNumber(const std::string& aText)
{
  N n{};
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, n);
  return result.ec == std::errc() && result.ptr == end;
}

bool isValidSecret(const std::string& aText)
{
  constexpr std::size_t kMaxSecretBytes = 512;
  return !aText.empty() && aText.size() <= kMaxSecretBytes &&
         std::all_of(aText.begin(), aText.end(),
                     [](char aChar) { return aChar > ' ' && aChar < '\x7f'; });
}

bool fitsArgument(std::string_view aArgument, const Token& aToken)
{
  if (aArgument == "R" || aArgument == "B") {
    return isNumber<double>(aToken.text);
  }
  if (aArgument == "NODE") {
    return isNumber<std::uint32_t>(aToken.text);
  }
  if (aArgument == "PATHPREFIX") {
    return !aToken.text.empty() && aToken.text.front() == '/';
  }
  if (aArgument == "SECRET") {
    return isValidSecret(aToken.text);
  }
  return !aToken.text.empty();
}

bool fits(const Element& aElement, const Token& aToken)
{
  if (aElement.words.empty()) {
    return fitsArgument(aElement.argument, aToken);
  }
  return !aToken.isQuoted && std::find(aElement.words.begin(), aElement.words.end(), aToken.text) !=
                               aElement.words.end();
}

std::string describeArgument(std::string_view aArgument)
{
  if (aArgument == "R" || aArgument == "B") {
    return "a number (" + std::string(aArgument) + ")";
  }
  if (aArgument == "NODE") {
    return "a node number (NODE)";
  }
  if (aArgument == "PATHPREFIX") {
    return "a path that begins with '/' (PATHPREFIX)";
  }
  if (aArgument == "SECRET") {
    return "an account key of 1 to 512 printable ASCII characters (SECRET)";
  }
  return std::string(aArgument);
}

// A position in a row. If the preceding element is repeated, it may match again.
struct RowPosition
{
  const Row* row = nullptr;
  std::size_t next = 0;
  std::vector<Token> arguments;

  const Element* element() const
  {
    return next < row->elements.size() ? &row->elements[next] : nullptr;
  }
  const Element* repeated() const
  {
    return next > 0 && row->elements[next - 1].isRepeated ? &row->elements[next - 1] : nullptr;
  }
  bool isComplete() const { return element() == nullptr || element()->isOptional; }
};

std::optional<RowPosition> advance(const RowPosition& aPosition, const Token& aToken)
{
  RowPosition out = aPosition;
  const Element* element = aPosition.element();
  if (element != nullptr && fits(*element, aToken)) {
    out.next += 1;
  } else {
    element = aPosition.repeated();
    if (element == nullptr || !fits(*element, aToken)) {
      return std::nullopt;
    }
  }
  if (element->words.size() != 1) { // An argument or a choice of keywords.
    out.arguments.push_back(aToken);
  }
  return out;
}

std::string joinAlternatives(const std::vector<std::string>& aWords)
{
  std::string out;
  for (std::size_t i = 0; i < aWords.size(); ++i) {
    out += (i == 0 ? "" : i + 1 == aWords.size() ? " or " : ", ") + aWords[i];
  }
  return out;
}

std::string nearestWord(const std::vector<std::string_view>& aWords, const std::string& aFound)
{
  std::string out;
  std::size_t best = kMaxSuggestionDistance + 1;
  for (const std::string_view word : aWords) {
    const std::size_t distance = editDistance(word, aFound);
    if (distance < best && distance < word.size()) {
      best = distance;
      out = word;
    }
  }
  return out;
}

void appendIfAbsent(std::vector<std::string>& aList, std::string aItem)
{
  if (std::find(aList.begin(), aList.end(), aItem) == aList.end()) {
    aList.push_back(std::move(aItem));
  }
}

class Matcher
{
public:
  Matcher()
  {
    for (const auto& row : parsedGrammar()) {
      mPositions.push_back({ &row, 0, {} });
    }
  }

  bool isEmpty() const { return mCount == 0; }

  Result<void> add(const Token& aToken)
  {
    std::vector<RowPosition> next;
    for (const auto& it : mPositions) {
      if (auto position = advance(it, aToken)) {
        next.push_back(std::move(*position));
      }
    }
    if (next.empty()) {
      return fail(problemAt(aToken, displayedWord(aToken)));
    }
    mPositions = std::move(next);
    if (mCount == 0) {
      mFirst = aToken;
    }
    mCount += 1;
    mLast = aToken;
    return {};
  }

  Result<MatchedStatement> finish() const
  {
    for (const auto& it : mPositions) {
      if (it.isComplete()) {
        return MatchedStatement{ it.row->kind, it.arguments, mFirst, mLast };
      }
    }
    Token end = mLast;
    end.column += mLast.endByte - mLast.beginByte;
    return fail(problemAt(end, std::string()));
  }

private:
  std::string displayedWord(const Token& aToken) const
  {
    constexpr std::size_t kMaxShownBytes = 64;
    const bool mayBeSecret = mCount >= kSecretWordIndex && mFirst.text == "create" &&
                             mPositions.front().row->kind >= StatementKind::CreateKey &&
                             mPositions.front().row->kind <= StatementKind::CreateKeyOfDigest;
    return mayBeSecret ? "(hidden)" : aToken.text.substr(0, kMaxShownBytes);
  }

  SyntaxProblem problemAt(const Token& aToken, const std::string& aFound) const
  {
    std::vector<std::string> expected;
    std::vector<std::string_view> words;
    bool mayEnd = false;
    for (const auto& it : mPositions) {
      for (const Element* element : { it.element(), it.repeated() }) {
        if (element == nullptr) {
          continue;
        }
        if (element->words.empty()) {
          appendIfAbsent(expected, describeArgument(element->argument));
        }
        for (const std::string_view word : element->words) {
          appendIfAbsent(expected, "'" + std::string(word) + "'");
          words.push_back(word);
        }
      }
      mayEnd = mayEnd || it.isComplete();
    }
    if (mayEnd && !aFound.empty()) {
      expected.emplace_back("the end of the statement");
    }
    return { aToken.line, aToken.column, aFound, joinAlternatives(expected),
             aFound.empty() ? std::string() : nearestWord(words, aFound) };
  }

  std::vector<RowPosition> mPositions;
  std::size_t mCount = 0;
  Token mFirst;
  Token mLast;
};

} // namespace

const std::vector<GrammarRow>& grammar()
{
  static const std::vector<GrammarRow> sRows = {
    { StatementKind::CreateService, "create service NAME keyed|unkeyed", "adds a service" },
    { StatementKind::RemoveService, "remove service NAME",
      "removes a service whose keys no node owns" },
    { StatementKind::OpenRoute, "open route SERVICE PATHPREFIX ...",
      "lets these paths of a service, and no others, run without an account key" },
    { StatementKind::CloseRoutes, "close routes SERVICE", "takes back all open routes" },
    { StatementKind::CreateAccount, "create account NAME rate R burst B",
      "adds a client account with R requests/s and bursts of B requests" },
    { StatementKind::RemoveAccount, "remove account NAME", "removes an account and its keys" },
    { StatementKind::SetRate, "set rate ACCOUNT R burst B", "changes the rate of an account" },
    { StatementKind::CreateKey, "create key ACCOUNT KEYNAME",
      "adds a random account key and shows it once" },
    { StatementKind::CreateKeyOfValue, "create key ACCOUNT KEYNAME value SECRET",
      "adds an account key of your choice" },
    { StatementKind::CreateKeyOfDigest, "create key ACCOUNT KEYNAME digest DIGEST",
      "adds an account key by its SHA-256" },
    { StatementKind::WithdrawKey, "withdraw key ACCOUNT KEYNAME",
      "ends an account key, also on open connections" },
    { StatementKind::ZoneOut, "zone out NAME", "takes an availability zone out of service" },
    { StatementKind::ZoneIn, "zone in NAME", "takes it back in" },
    { StatementKind::RetireTarget, "retire target NODE", "gives a node's target no more work" },
    { StatementKind::RestoreTarget, "restore target NODE", "gives it work again" },
    { StatementKind::PinKey, "pin key SERVICE KEY", "gives a key a partition of its own" },
    { StatementKind::PinKeyTo, "pin key SERVICE KEY to NODE", "and moves it to a node" },
    { StatementKind::UnpinKey, "unpin key SERVICE KEY", "takes the pin back" },
    { StatementKind::ShowServices, "show services [NAME]", "services and their open routes" },
    { StatementKind::ShowAccounts, "show accounts [NAME]", "accounts, rates and names of keys" },
    { StatementKind::ShowNodes, "show nodes [NAME]", "nodes, their targets and their status" },
    { StatementKind::ShowZones, "show zones [NAME]", "availability zones" },
    { StatementKind::ShowOwners, "show owners [SERVICE]", "owners of partitions" },
    { StatementKind::ShowPins, "show pins [NAME]", "pinned keys and their owners" },
    { StatementKind::ShowStatus, "show status", "the daemon that answers" },
    { StatementKind::ShowMembers, "show members", "members of the control group" },
    { StatementKind::ShowLeases, "show leases", "leases at the control leader" },
    { StatementKind::ShowAudit, "show audit [TEXT]", "latest audit records that contain a text" },
  };
  return sRows;
}

std::string helpText()
{
  std::size_t width = 0;
  for (const auto& it : grammar()) {
    width = std::max(width, it.syntax.size());
  }
  std::string out;
  for (const auto& it : grammar()) {
    out += std::string(it.syntax) + std::string(width + 2 - it.syntax.size(), ' ') +
           std::string(it.help) + "\n";
  }
  return out;
}

Result<std::vector<MatchedStatement>> matchStatements(const std::string& aText)
{
  BOOST_LEAF_AUTO(tokens, splitTokens(aText));
  std::vector<MatchedStatement> out;
  Matcher matcher;
  const auto finish = [&]() -> Result<void> {
    if (!matcher.isEmpty()) {
      BOOST_LEAF_AUTO(statement, matcher.finish());
      out.push_back(std::move(statement));
      matcher = Matcher();
    }
    return {};
  };
  for (const auto& token : tokens) {
    if (token.isSeparator) {
      BOOST_LEAF_CHECK(finish());
    } else {
      BOOST_LEAF_CHECK(matcher.add(token));
    }
  }
  BOOST_LEAF_CHECK(finish());
  return out;
}

std::size_t editDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{ 0 });
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < aRight.size(); ++j) {
      const std::size_t replaced = diagonal + (aLeft[i] == aRight[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({ replaced, row[j] + 1, row[j + 1] + 1 });
    }
  }
  return row.back();
}

} // namespace camphorcleat::fleet
