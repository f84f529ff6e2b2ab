// Builds command bodies from matched statements.

#include "fleet/Statement.h"

#include <charconv>
#include <optional>

#include "base/Hash.h"

namespace camphorcleat::fleet {

namespace {

template<class N>
N numberOf(const Token& aToken)
{
  N out{};
  std::from_chars(aToken.text.data(), aToken.text.data() + aToken.text.size(), out);
  return out;
}

std::string randomKey(const RandomSource& aRandom)
{
  constexpr unsigned kWords = 8; // 256 bits.
  constexpr unsigned kDigitsPerWord = 8;
  constexpr unsigned kBitsPerDigit = 4;
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out;
  for (unsigned i = 0; i < kWords; ++i) {
    std::uint32_t bits = aRandom();
    for (unsigned j = 0; j < kDigitsPerWord; ++j, bits >>= kBitsPerDigit) {
      out += kDigits[bits & 0xFU];
    }
  }
  return out;
}

std::optional<Query> queryOf(const MatchedStatement& aStatement)
{
  if (aStatement.kind < StatementKind::ShowServices) {
    return std::nullopt;
  }
  constexpr QueryKind kKinds[] = { QueryKind::Services, QueryKind::Accounts, QueryKind::Nodes,
                                   QueryKind::Zones,    QueryKind::Owners,   QueryKind::Pins,
                                   QueryKind::Status,   QueryKind::Members,  QueryKind::Leases,
                                   QueryKind::Audit };
  const auto index = static_cast<std::size_t>(aStatement.kind) -
                     static_cast<std::size_t>(StatementKind::ShowServices);
  return Query{ kKinds[index],
                aStatement.arguments.empty() ? std::string() : aStatement.arguments[0].text };
}

wire::CommandBody openRoute(const std::vector<Token>& aArguments)
{
  wire::SetOpenRoutes out{ aArguments[0].text, {} };
  for (std::size_t i = 1; i < aArguments.size(); ++i) {
    out.openRoutes.push_back(aArguments[i].text);
  }
  return out;
}

// Returns the command body of a statement other than a query or "create key" without a value.
// Arguments have the order of the grammar table.
wire::CommandBody bodyOf(const MatchedStatement& aStatement)
{
  const std::vector<Token>& arguments = aStatement.arguments;
  const std::string& name = arguments[0].text;
  switch (aStatement.kind) {
    case StatementKind::CreateService:
      return wire::CreateService{ wire::Service{ name, arguments[1].text == "keyed", {} } };
    case StatementKind::RemoveService:
      return wire::RemoveService{ name };
    case StatementKind::OpenRoute:
    case StatementKind::CloseRoutes:
      return openRoute(arguments);
    case StatementKind::CreateAccount:
      return wire::CreateAccount{ name, numberOf<double>(arguments[1]),
                                  numberOf<double>(arguments[2]) };
    case StatementKind::RemoveAccount:
      return wire::RemoveAccount{ name };
    case StatementKind::SetRate:
      return wire::SetRate{ name, numberOf<double>(arguments[1]), numberOf<double>(arguments[2]) };
    case StatementKind::CreateKeyOfValue:
      return wire::GrantAccountKey{ name, arguments[1].text, sha256Hex(arguments[2].text) };
    case StatementKind::CreateKeyOfDigest:
      return wire::GrantAccountKey{ name, arguments[1].text, arguments[2].text };
    case StatementKind::WithdrawKey:
      return wire::WithdrawAccountKey{ name, arguments[1].text };
    case StatementKind::ZoneOut:
      return wire::SetZone{ name, true };
    case StatementKind::ZoneIn:
      return wire::SetZone{ name, false };
    case StatementKind::RetireTarget:
      return wire::SetRetired{ numberOf<NodeId>(arguments[0]), true };
    case StatementKind::RestoreTarget:
      return wire::SetRetired{ numberOf<NodeId>(arguments[0]), false };
    case StatementKind::PinKey:
      return wire::PinKey{ name, arguments[1].text, kNoNode };
    case StatementKind::PinKeyTo:
      return wire::PinKey{ name, arguments[1].text, numberOf<NodeId>(arguments[2]) };
    default:
      return wire::UnpinKey{ name, arguments[1].text };
  }
}

SyntaxProblem missingValue(const MatchedStatement& aStatement)
{
  const Token& last = aStatement.last;
  return { last.line, last.column + last.endByte - last.beginByte, "", "'value' or 'digest'", "" };
}

SyntaxProblem mixedQuery(const MatchedStatement& aStatement)
{
  return { aStatement.first.line, aStatement.first.column, aStatement.first.text,
           "only one statement, since 'show' stands alone", "" };
}

Result<Statement> changeOf(const std::vector<MatchedStatement>& aStatements,
                           const RandomSource& aRandom)
{
  ChangeRequest out;
  for (const auto& it : aStatements) {
    if (queryOf(it)) {
      return fail(mixedQuery(it));
    }
    if (it.kind != StatementKind::CreateKey) {
      out.bodies.push_back(bodyOf(it));
      continue;
    }
    if (!aRandom) {
      return fail(missingValue(it));
    }
    GeneratedKey key{ it.arguments[0].text, it.arguments[1].text, randomKey(aRandom) };
    out.bodies.emplace_back(
      wire::GrantAccountKey{ key.account, key.keyName, sha256Hex(key.value) });
    out.generatedKeys.push_back(std::move(key));
  }
  return Statement(std::move(out));
}

} // namespace

Result<Statement> parseStatement(const std::string& aText, const RandomSource& aRandom)
{
  BOOST_LEAF_AUTO(statements, matchStatements(aText));
  if (statements.empty()) {
    return fail(SyntaxProblem{ 1, 1, "", "a statement", "" });
  }
  if (statements.size() == 1) {
    if (auto query = queryOf(statements[0])) {
      return Statement(std::move(*query));
    }
  }
  return changeOf(statements, aRandom);
}

Result<RedactedText> redactSecrets(const std::string& aText, const RandomSource& aRandom)
{
  BOOST_LEAF_AUTO(statements, matchStatements(aText));
  RedactedText out;
  std::size_t copied = 0;
  for (const auto& it : statements) {
    const bool isGenerated = it.kind == StatementKind::CreateKey;
    if (!isGenerated && it.kind != StatementKind::CreateKeyOfValue) {
      continue;
    }
    const std::string value = isGenerated ? randomKey(aRandom) : it.arguments[2].text;
    const std::size_t keep = it.arguments[1].endByte; // End of the key's name.
    out.text += aText.substr(copied, keep - copied) + " digest " + sha256Hex(value);
    copied = it.last.endByte;
    if (isGenerated) {
      out.generatedKeys.push_back({ it.arguments[0].text, it.arguments[1].text, value });
    }
  }
  out.text += aText.substr(copied);
  return out;
}

} // namespace camphorcleat::fleet
